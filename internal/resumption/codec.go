package resumption

import (
	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
)

func encodeRecords(records []record, now bootclock.Instant) []*peerpb.StreamOrigin {
	out := make([]*peerpb.StreamOrigin, 0, len(records))
	for _, r := range records {
		out = append(out, &peerpb.StreamOrigin{
			Request: r.Request, Workspace: r.Workspace, Service: r.Service, Software: r.Software, Ambiguous: r.Ambiguous,
			LifeMs: uint32(max(r.expires.Sub(now).Milliseconds(), 0)),
		})
	}
	return out
}

func decodeOrigin(m *peerpb.StreamOrigin) Origin {
	return Origin{Request: m.GetRequest(), Workspace: m.GetWorkspace(), Service: m.GetService(), Software: m.GetSoftware(), Ambiguous: m.GetAmbiguous()}
}
