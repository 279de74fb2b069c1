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

// ClientHandler is the store's HTTP handler for one client. It can simulate failures for this
// client only. It is an http.Handler and safe for concurrent use.
type ClientHandler struct {
	server    *Server
	client    string
	addresses Addresses

	mu     sync.Mutex
	faults Faults
}

// HandlerFor returns the store's handler for one client. If the client is a process of the
// product, the parameter client is the name of its own registration.
func (s *Server) HandlerFor(client string, addresses Addresses) *ClientHandler {
	return &ClientHandler{server: s, client: client, addresses: addresses}
}

// SetFaults replaces the failures that are simulated for this client.
func (f *ClientHandler) SetFaults(faults Faults) {
	f.mu.Lock()
	f.faults = faults
	f.mu.Unlock()
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	f.server.wakeWatches()
}

// activeFaults returns the failures simulated for this client, or those of the store if there are none.
func (f *ClientHandler) activeFaults() Faults {
	f.mu.Lock()
	own := f.faults
	f.mu.Unlock()
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	if own == (Faults{}) {
		return f.server.faults
	}
	return own
}

// ServeHTTP implements http.Handler.
func (f *ClientHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.server.mu.Lock()
	f.server.calls++
	f.server.mu.Unlock()
	faults := f.activeFaults()
	w = &eraWriter{ResponseWriter: w, server: f.server}
	switch {
	case faults.NoResponse:
		// The HTTP server does not detect that the client has disconnected before the body has been read.
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
	if strings.Contains(name, "/") { // a path has one segment for the name, escaped slashes or not
		w.WriteHeader(http.StatusNotFound)
		return
	}
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

// eraWriter adds the era to the headers of a response. The value is that at the time the headers are
// written, since the era may change while a call waits.
type eraWriter struct {
	http.ResponseWriter
	server      *Server
	headWritten bool
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if era := w.server.eraHeaderValue(); era != "" && !w.headWritten {
		w.Header().Set(headerEra, era)
	}
	w.headWritten = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(p []byte) (int, error) {
	if !w.headWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// withClientAddresses returns an object with the addresses that this client is meant to see.
func (f *ClientHandler) withClientAddresses(kind string, o object) object {
	if len(o.Spec) > 0 && o.token == "" {
		o.Spec = f.addresses.rewrite(f.client, kind, o.Metadata.Name, o.Spec)
	}
	return o
}

func (f *ClientHandler) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	q := r.URL.Query()
	staleBy := f.activeFaults().StaleBy
	if q.Get("stale_ok") == "" {
		staleBy = 0
	}
	switch {
	case name != "":
		f.server.mu.Lock()
		o, ok := f.server.objects[kind][name]
		f.server.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		f.server.reply(w, f.withClientAddresses(kind, o))
	case q.Has("watch"):
		f.watch(w, r, kind, staleBy)
	default:
		f.list(w, kind, q.Get("after"), staleBy)
	}
}

func (f *ClientHandler) list(w http.ResponseWriter, kind, after string, staleBy time.Duration) {
	f.server.mu.Lock()
	objects, rev := f.server.objectsAsOf(kind, time.Now().Add(-staleBy))
	f.server.mu.Unlock()
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
		items = append(items, f.withClientAddresses(kind, objects[name]))
	}
	out["items"] = items
	f.server.reply(w, out)
}

func (f *ClientHandler) watch(w http.ResponseWriter, r *http.Request, kind string, staleBy time.Duration) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		withheld := f.activeFaults().WithholdEvents
		f.server.mu.Lock()
		_, rev := f.server.objectsAsOf(kind, time.Now().Add(-staleBy))
		events, unknownRevision, changed := f.server.eventsAfter(kind, since, rev), since < f.server.compactedRev || since > f.server.rev, f.server.changed
		f.server.mu.Unlock()
		rev = max(rev, since)
		switch {
		case unknownRevision:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 && !withheld:
			for i := range events {
				events[i].Object = f.withClientAddresses(kind, events[i].Object)
			}
			f.server.reply(w, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline:
			if withheld {
				rev = since
			}
			f.server.reply(w, map[string]any{"events": []event{}, "current_rev": rev})
			return
		case <-changed:
		case <-nextVisible(staleBy):
		}
	}
}

// nextVisible fires when a change made now is old enough to be visible. It never fires if staleBy is 0,
// since all changes are visible then.
func nextVisible(staleBy time.Duration) <-chan time.Time {
	if staleBy == 0 {
		return nil
	}
	return time.After(staleBy)
}

func (f *ClientHandler) write(w http.ResponseWriter, r *http.Request, kind, name string, faults Faults) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if faults.WriteDelay > 0 {
		time.AfterFunc(faults.WriteDelay, func() { f.server.applyWrite(r, kind, name, body) })
		panic(http.ErrAbortHandler)
	}
	status, o := f.server.applyWrite(r, kind, name, body)
	if faults.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(faults.Delay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(f.withClientAddresses(kind, o)) // fails only if the client has disconnected
}
