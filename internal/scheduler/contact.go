package scheduler

import (
	"context"

	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
)

// HasContact reports whether this process receives messages from another process: as a scheduler from
// its clients, which call at least twice a second, or by the means that Options.HasContact covers.
func (s *Server) HasContact(name string) bool {
	if s.o.HasContact(name) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clients[name] != nil
}

// confirmNoContact returns which of the processes named by the caller this process has no contact with either.
func (s *Server) confirmNoContact(m *peerpb.Heartbeat) *peerpb.Response {
	out := &peerpb.Heartbeat{}
	for _, p := range m.GetSilent() {
		if !s.HasContact(p.GetName()) {
			out.Silent = append(out.Silent, p)
		}
	}
	return &peerpb.Response{Body: &peerpb.Response_Heartbeat{Heartbeat: out}}
}

// WithoutContact asks a scheduler which of the named processes it has no contact with either.
func (c *Client) WithoutContact(ctx context.Context, scheduler members.Member, names []string) ([]string, error) {
	req := &peerpb.Heartbeat{}
	for _, n := range names {
		req.Silent = append(req.Silent, &peerpb.Silent{Name: n})
	}
	resp, err := c.o.Transport.Call(ctx, scheduler.Peer, &peerpb.Request{Body: &peerpb.Request_Heartbeat{Heartbeat: req}})
	if err != nil {
		return nil, err
	}
	var withoutContact []string
	for _, p := range resp.GetHeartbeat().GetSilent() {
		withoutContact = append(withoutContact, p.GetName())
	}
	return withoutContact, nil
}
