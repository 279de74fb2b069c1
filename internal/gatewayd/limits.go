package gatewayd

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/rockdoor/rockdoor/bootclock"
)

// LimitsStatus is the state of the rate limits of instances, as one gateway knows it.
type LimitsStatus struct {
	// Coordinator is the process that grants requests to this one, Share is the share of each rate that
	// it may grant.
	Coordinator string        `json:"keeper"`
	Share       float64       `json:"part"`
	Limits      []LimitStatus `json:"limits"`
}

// LimitStatus is the rate limit of one run of an instance. LimitedForMs is how long the instance has
// been limited, ReportAgeMs how long ago its last report was received.
type LimitStatus struct {
	Instance string `json:"instance"`
	// PerSecond is the limit in requests per second for all gateways together.
	PerSecond    float64 `json:"perSecond"`
	LimitedForMs int64   `json:"forMs"`
	ReportAgeMs  int64   `json:"heardMs"`
	// DemandPerSecond is the demand of this gateway in requests per second.
	DemandPerSecond float64 `json:"wanted"`
}

// rateLimits responds with the rate limits of all instances that have one.
func (d *Daemon) rateLimits(w http.ResponseWriter, _ *http.Request) {
	out := LimitsStatus{Coordinator: d.grantSync.Coordinator(), Share: d.grantSync.Share(), Limits: []LimitStatus{}}
	for run, s := range d.limits.AllLimits() {
		out.Limits = append(out.Limits, LimitStatus{
			Instance: run, PerSecond: s.PerSecond, LimitedForMs: bootclock.Since(s.LimitedSince).Milliseconds(), ReportAgeMs: bootclock.Since(s.ReceivedAt).Milliseconds(),
			DemandPerSecond: d.limits.DemandRate(run),
		})
	}
	slices.SortFunc(out.Limits, func(a, b LimitStatus) int { return cmp.Compare(a.Instance, b.Instance) })
	d.writeJSON(w, http.StatusOK, out)
}
