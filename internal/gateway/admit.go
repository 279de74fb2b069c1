package gateway

import (
	"net/http"
	"time"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
)

// staleConfigRetry is the Retry-After while the configuration is too stale to accept API keys. A
// process that can reach neither the store nor a scheduler retries them about this often.
const staleConfigRetry = time.Second

// Outcomes of requests that are not admitted.
const (
	codeUnknownKey  = "unknown-key"
	codeKeyUnproven = "key-unproven"
)

// admit checks a client's API key for a route and returns its workspace, nil if the route is
// public and the key names none, or if no workspaces are configured. A key is accepted only if
// the configuration was confirmed to be the newest one within MaxConfigStaleness. Otherwise a process
// that is partitioned, was paused, or gets its configuration from such a process would go on
// accepting revoked keys.
func (s *Server) admit(v *fleet.View, route *fleet.Route, key string) (*fleet.Workspace, *reply) {
	if v.Config.Workspaces() == 0 || route.Public && key == "" {
		return nil, nil
	}
	fresh := s.o.MaxConfigStaleness == 0 || v.ConfigStaleness() <= s.o.MaxConfigStaleness
	workspace := v.Config.WorkspaceByKey(key)
	switch {
	case route.Public && (!fresh || workspace == nil):
		return nil, nil
	case !fresh:
		return nil, replyWithStatus(http.StatusServiceUnavailable, codeKeyUnproven,
			fault.New(fault.Unavailable, "configuration is too old to tell whether the key is still valid", "ask again after the time in Retry-After"), staleConfigRetry)
	case workspace == nil:
		return nil, replyWithStatus(http.StatusUnauthorized, codeUnknownKey,
			fault.New(fault.Denied, "unknown API key", "send a key of the workspace"), 0)
	}
	return workspace, nil
}

// withWorkspaceRank returns the route with its rank replaced by that of the workspace, if the
// workspace sets one.
func withWorkspaceRank(route *fleet.Route, w *fleet.Workspace) *fleet.Route {
	if w == nil || !w.Ranked || w.Rank == route.Rank {
		return route
	}
	r := *route
	r.Rank = w.Rank
	return &r
}

// workspaceName returns the name of the client's workspace, empty for none.
func (q *request) workspaceName() string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}
