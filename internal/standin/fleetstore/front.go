package fleetstore

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Front is the store as one caller meets it, with faults of its own besides the store's. It
// is an http.Handler and safe for concurrent use.
type Front struct {
	s         *Server
	caller    string
	addresses Addresses

	mu     sync.Mutex
	faults Faults
}

// Front returns the store as a caller meets it.
func (s *Server) Front(caller string, addresses Addresses) *Front {
	return &Front{s: s, caller: caller, addresses: addresses}
}

// SetFaults makes the store misbehave towards this caller from now on.
func (f *Front) SetFaults(faults Faults) {
	f.mu.Lock()
	f.faults = faults
	f.mu.Unlock()
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	f.s.wake()
}

// now returns the faults in force. The first of both that is set counts.
func (f *Front) now() Faults {
	f.mu.Lock()
	own := f.faults
	f.mu.Unlock()
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	if own == (Faults{}) {
		return f.s.faults
	}
	return own
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.s.mu.Lock()
	f.s.calls++
	f.s.mu.Unlock()
	faults := f.now()
	w = &eraWriter{ResponseWriter: w, s: f.s}
	switch {
	case faults.Silent:
		// Until the body has been read the server does not notice that the caller has gone.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case faults.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	path, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	if faults.DownKind == kind {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method {
	case http.MethodGet:
		time.Sleep(faults.Delay)
		f.get(w, r, kind, name)
	case http.MethodPost, http.MethodPut, http.MethodDelete:
		f.write(w, r, kind, name, faults)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// eraWriter adds the era to the head of an answer, as of when the answer is given.
type eraWriter struct {
	http.ResponseWriter
	s       *Server
	written bool
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if era := w.s.eraNow(); era != "" && !w.written {
		w.Header().Set(headerEra, era)
	}
	w.written = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(p []byte) (int, error) {
	if !w.written {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// shown returns an object as this caller sees it.
func (f *Front) shown(kind string, o object) object {
	if len(o.Spec) > 0 {
		o.Spec = f.addresses.apply(f.caller, kind, o.Metadata.Name, o.Spec)
	}
	return o
}

func (f *Front) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	q := r.URL.Query()
	staleBy := f.now().StaleBy
	if q.Get("stale_ok") == "" {
		staleBy = 0
	}
	switch {
	case name != "":
		f.s.mu.Lock()
		o, ok := f.s.objects[kind][name]
		f.s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, f.shown(kind, o))
	case q.Has("watch"):
		f.watch(w, r, kind, staleBy)
	default:
		f.list(w, kind, q.Get("after"), staleBy)
	}
}

func (f *Front) list(w http.ResponseWriter, kind, after string, staleBy time.Duration) {
	f.s.mu.Lock()
	objects, rev := f.s.asOf(kind, time.Now().Add(-staleBy))
	f.s.mu.Unlock()
	var names []string
	for name := range objects {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	out := map[string]any{"current_rev": rev, "has_more": len(names) > pageItems}
	items := []object{}
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, f.shown(kind, objects[name]))
	}
	out["items"] = items
	reply(w, out)
}

func (f *Front) watch(w http.ResponseWriter, r *http.Request, kind string, staleBy time.Duration) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		deaf := f.now().DeafWatches
		f.s.mu.Lock()
		_, rev := f.s.asOf(kind, time.Now().Add(-staleBy))
		events, gone, changed := f.s.after(kind, since, rev), since < f.s.forgotten || since > f.s.rev, f.s.changed
		f.s.mu.Unlock()
		rev = max(rev, since)
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 && !deaf:
			for i := range events {
				events[i].Object = f.shown(kind, events[i].Object)
			}
			reply(w, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline:
			if deaf {
				rev = since
			}
			reply(w, map[string]any{"events": []event{}, "current_rev": rev})
			return
		case <-changed:
		case <-later(staleBy):
		}
	}
}

// later ticks when a change of now is old enough to be shown, and never if all are.
func later(staleBy time.Duration) <-chan time.Time {
	if staleBy == 0 {
		return nil
	}
	return time.After(staleBy)
}

func (f *Front) write(w http.ResponseWriter, r *http.Request, kind, name string, faults Faults) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if faults.LateBy > 0 {
		time.AfterFunc(faults.LateBy, func() { f.s.carryOut(r, kind, name, body) })
		panic(http.ErrAbortHandler)
	}
	status, o := f.s.carryOut(r, kind, name, body)
	if faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(faults.Delay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(f.shown(kind, o)) // a caller that is gone needs no answer
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that is gone needs no answer
}
