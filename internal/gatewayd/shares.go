package gatewayd

import "net/http"

// shares responds with the division of engine time among workspaces.
func (d *Daemon) shares(w http.ResponseWriter, _ *http.Request) {
	d.writeJSON(w, http.StatusOK, d.placer.Shares())
}

// shareMetrics sets the metrics of shares, summed over all services and workspaces.
func (d *Daemon) shareMetrics(gauge func(name string, value int64)) {
	if d.shareSync == nil {
		return
	}
	tight, over, within, borrowed, refused := int64(0), int64(0), int64(0), int64(0), int64(0)
	for _, s := range d.placer.Shares() {
		if s.Tight {
			tight++
		}
		for _, w := range s.Workspaces {
			if w.State == "borrows" {
				over++
			}
		}
		within, borrowed, refused = within+s.Decisions.Within, borrowed+s.Decisions.Borrowed, refused+s.Decisions.Refused
	}
	gauge("shares.tight_services", tight)
	gauge("shares.workspaces_over", over)
	gauge("shares.within", within)
	gauge("shares.borrowed", borrowed)
	gauge("shares.refused", refused)
}
