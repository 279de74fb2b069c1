package admin

import (
	"net/http"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/internal/controller"
)

// Status is the state of the fleet as one process sees it.
type Status struct {
	Process  string `json:"process"`
	Revision int64  `json:"revision"`
	ChangeID string `json:"changeID"`
	// Fresh is false if the process cannot know whether the revision is still the newest.
	Fresh bool `json:"fresh"`
	// Watcher is true if the process reads the platform's store for its domain.
	Watcher bool                  `json:"watcher"`
	Members []control.MemberState `json:"members"`
	Targets []TargetStatus        `json:"targets"`
	// Pools are the pools that this process is a candidate to control.
	Pools []controller.PoolStatus `json:"pools"`
}

// TargetStatus is the state of one engine or backend server.
type TargetStatus struct {
	Name    string             `json:"name"`
	Kind    string             `json:"kind"`
	Host    string             `json:"host"`
	Domain  string             `json:"domain"`
	Address string             `json:"address"`
	State   config.ServerState `json:"state"`
	Role    engine.Role        `json:"role,omitempty"`
	// WantedRole is the role that the operator has configured.
	WantedRole engine.Role `json:"wantedRole,omitempty"`
	Changing   bool        `json:"changing,omitempty"`
	// Order is the state of the last order to the engine, empty if that order has ended.
	Order string `json:"order,omitempty"`
	// Requests is the number of requests in flight there, of this process and, as far as it knows, of
	// all others.
	Requests int `json:"requests"`
	// Report is the reason why there is no current status report of the engine, empty if there is one.
	Report string `json:"report,omitempty"`
	// ReportAge is the age of the report, in milliseconds.
	ReportAge int64 `json:"reportAgeMs,omitempty"`
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	snap := s.o.Snapshot()
	st := Status{
		Process: s.o.Self.Name, Revision: snap.Revision, ChangeID: snap.ChangeID, Fresh: snap.Fresh(),
		Members: snap.Members, Targets: []TargetStatus{}, Pools: s.o.Pools(), Watcher: s.o.Watcher(),
	}
	if snap.Config != nil {
		for _, e := range snap.Config.Config.Engines {
			st.Targets = append(st.Targets, s.engineStatus(snap, snap.Config.Targets[e.Name]))
		}
		for _, svc := range snap.Config.Config.Services {
			for _, srv := range svc.Servers {
				st.Targets = append(st.Targets, s.targetStatus(snap, snap.Config.Targets[srv.Name], "server"))
			}
		}
	}
	writeJSON(w, http.StatusOK, st)
}

func (s *Server) targetStatus(snap *control.Snapshot, t *config.Target, kind string) TargetStatus {
	return TargetStatus{
		Name: t.Name, Kind: kind, Host: t.Host, Domain: t.Domain, Address: t.Address, State: t.State,
		Requests: s.o.OwnLoad(t.Name).Add(snap.PeerLoads[t.Name]).Requests,
	}
}

func (s *Server) engineStatus(snap *control.Snapshot, t *config.Target) TargetStatus {
	st := s.targetStatus(snap, t, "engine")
	st.WantedRole = t.Engine.Role
	if o := snap.Orders[t.Name]; o.Open() {
		st.Order = string(o.State)
	}
	r, ok := snap.Reports[t.Name]
	if !ok {
		st.Report = "not asked by this process"
		return st
	}
	st.Role, st.Changing = r.Status.Role, r.Status.Changing
	st.ReportAge = bootclock.Since(r.At).Milliseconds()
	if r.Err != nil {
		st.Report = r.Err.Error()
	}
	return st
}
