package gateway

import (
	"net/http"
	"time"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
)

// unprovenRetry is when to ask again while it cannot be proven that a key is still good. A
// process that has lost the store and all schedulers looks for them again about as often.
const unprovenRetry = time.Second

// Outcomes of requests that are not admitted.
const (
	codeUnknownKey = "unknown-key"
	codeUnproven   = "key-unproven"
)

// admit returns the workspace of a caller that may use a route, nil if the route needs
// none and the caller has none. A key counts only while it is proven that it has not been
// taken away longer ago than the operator allows, so that a process which is cut off, was
// paused, or is fed by such a one refuses instead of running what is not permitted any more.
func (s *Server) admit(v *fleet.View, route *fleet.Route, key string) (*fleet.Workspace, *reply) {
	if v.Config.Workspaces() == 0 || route.Public && key == "" {
		return nil, nil
	}
	proven := s.o.MaxConfigStaleness == 0 || v.ConfigStaleness() <= s.o.MaxConfigStaleness
	workspace := v.Config.WorkspaceByKey(key)
	switch {
	case route.Public && (!proven || workspace == nil):
		return nil, nil
	case !proven:
		return nil, refusal(http.StatusServiceUnavailable, codeUnproven,
			fault.New(fault.Unavailable, "whether the key is still good is not known", "ask again after the time in Retry-After"), unprovenRetry)
	case workspace == nil:
		return nil, refusal(http.StatusUnauthorized, codeUnknownKey,
			fault.New(fault.Denied, "key is not known", "send a key of the workspace"), 0)
	}
	return workspace, nil
}

// ranked returns the route with the rank that the workspace's requests have.
func ranked(route *fleet.Route, w *fleet.Workspace) *fleet.Route {
	if w == nil || !w.Ranked || w.Rank == route.Rank {
		return route
	}
	r := *route
	r.Rank = w.Rank
	return &r
}

// workspaceName returns the name of the caller's workspace, empty for none.
func (q *request) workspaceName() string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}
