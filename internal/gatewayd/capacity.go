package gatewayd

import (
	"net/http"

	"github.com/rockdoor/rockdoor/internal/scaler"
)

// CapacityStatus says why so many engines are ordered. Only the process that holds the duty orders
// engines; the decisions of another one are those of the time when it held the duty.
type CapacityStatus struct {
	ByDemand bool                   `json:"byDemand"`
	HasDuty  bool                   `json:"hasDuty"`
	Services []scaler.ServiceStatus `json:"services"`
}

// capacity responds with the last decisions on the numbers of engines.
func (d *Daemon) capacity(w http.ResponseWriter, _ *http.Request) {
	out := CapacityStatus{ByDemand: d.workTable != nil, Services: []scaler.ServiceStatus{}}
	_, out.HasDuty = d.authority.Grant()
	if d.scaler != nil {
		out.Services = d.scaler.Status()
	}
	d.writeJSON(w, http.StatusOK, out)
}
