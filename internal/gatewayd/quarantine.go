package gatewayd

import (
	"net/http"

	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/admin"
	"github.com/rockdoor/rockdoor/quarantine"
)

// SuspectStatus is the state of a request, or of a part of prompts, during whose runs instances have crashed.
// CrashedInstances lists the runs of these instances, SinceLastCrashMs is the time since the last crash.
type SuspectStatus struct {
	// Kind is request or part.
	Kind             string   `json:"kind"`
	Fingerprint      string   `json:"fingerprint"`
	CrashedInstances []string `json:"ended"`
	SinceLastCrashMs int64    `json:"lastEndMs"`
	// Refused is true if the request is sent to no instance for another RefusedForMs.
	Refused      bool  `json:"refused"`
	RefusedForMs int64 `json:"refusedForMs"`
	// BlamedWith lists parts with the same crashes: only prompts with all of them are rejected.
	BlamedWith []string `json:"blamedWith,omitempty"`
}

// quarantine responds with the requests during whose runs instances have crashed.
func (d *Daemon) quarantine(w http.ResponseWriter, _ *http.Request) {
	out := []SuspectStatus{}
	for _, s := range d.suspects.Suspects() {
		with := make([]string, 0, len(s.BlamedWith))
		for _, f := range s.BlamedWith {
			with = append(with, f.String())
		}
		out = append(out, SuspectStatus{
			Kind: s.Kind.String(), BlamedWith: with, Fingerprint: s.Request.String(), CrashedInstances: s.Verdict.CrashedInstances, SinceLastCrashMs: s.SinceLastCrash.Milliseconds(),
			Refused: s.Verdict.Refused, RefusedForMs: s.Verdict.RetryAfter.Milliseconds(),
		})
	}
	d.writeJSON(w, http.StatusOK, out)
}

// clearQuarantine releases a request, or a part of prompts, from quarantine at all processes: the operator's decision
// counts as a successful run.
func (d *Daemon) clearQuarantine(w http.ResponseWriter, r *http.Request) {
	f, err := quarantine.ParseFingerprint(mux.Vars(r)["fingerprint"])
	if err != nil {
		d.writeJSON(w, http.StatusBadRequest, admin.ErrorBody{Kind: fault.Invalid, Message: err.Error()})
		return
	}
	s, ok := d.suspects.Find(f)
	if !ok || len(s.Verdict.CrashedInstances) == 0 {
		err := fault.Newf(fault.NotFound, "list them with: rockdoor gateway quarantine", "no instance has crashed while running %s", f)
		d.writeJSON(w, http.StatusNotFound, admin.ErrorBody{Kind: fault.NotFound, Message: err.Error()})
		return
	}
	if s.Kind == quarantine.KindPart {
		d.suspects.ClearPart(f)
	} else {
		d.suspects.Clear(f)
	}
	level.Warn(d.logger).Log("msg", "request cleared by an operator", "kind", s.Kind, "fingerprint", f, "refused", s.Verdict.Refused)
	d.writeJSON(w, http.StatusOK, struct{}{})
}
