package scheduler

import (
	"context"

	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
)

// HasContact reports whether this process hears another one: as one that follows it or has it place
// requests, which calls at least twice a second, or in the ways of Options.Hears.
func (s *Server) HasContact(name string) bool {
	if s.o.HasContact(name) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clients[name] != nil
}

// unheard answers which of the processes that the caller names are not heard here either.
func (s *Server) unheard(m *peerpb.Heartbeat) *peerpb.Response {
	out := &peerpb.Heartbeat{}
	for _, p := range m.GetSilent() {
		if !s.HasContact(p.GetName()) {
			out.Silent = append(out.Silent, p)
		}
	}
	return &peerpb.Response{Body: &peerpb.Response_Heartbeat{Heartbeat: out}}
}

// WithoutContact asks a scheduler which of the names it does not hear either.
func (c *Client) WithoutContact(ctx context.Context, scheduler members.Member, names []string) ([]string, error) {
	ask := &peerpb.Heartbeat{}
	for _, n := range names {
		ask.Silent = append(ask.Silent, &peerpb.Silent{Name: n})
	}
	resp, err := c.o.Transport.Call(ctx, scheduler.Peer, &peerpb.Request{Body: &peerpb.Request_Heartbeat{Heartbeat: ask}})
	if err != nil {
		return nil, err
	}
	var left []string
	for _, p := range resp.GetHeartbeat().GetSilent() {
		left = append(left, p.GetName())
	}
	return left, nil
}
