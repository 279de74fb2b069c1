package suspects

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/quarantine"
)

// wayTime is how long a message takes here; ages are told without it.
const wayTime = 3 * time.Millisecond

// say has one process tell another what it knows, and reports whether there was news.
func say(from, to *Syncer) bool {
	m := from.message(to.o.Run)
	time.Sleep(wayTime)
	to.hear(from.o.Run, m)
	return len(m.GetNews()) > 0
}

func sharers(n int) []*Syncer {
	var out []*Syncer
	for i := range n {
		out = append(out, New(Options{Run: fmt.Sprint("p-", i), Table: quarantine.NewTable(), Logger: nopLogger{}}))
	}
	return out
}

type nopLogger struct{}

func (nopLogger) Log(...any) error { return nil }

// TestWhatIsToldComesToRest has processes tell each other of more ends than are kept and of good
// runs. Ages don't count the way of a message, so that each process took what it was
// told for later than what it had, told that on, and was told again: the processes of a small fleet
// did nothing else any more, at a sixth of a core each.
func TestWhatIsToldComesToRest(t *testing.T) {
	all := sharers(3)
	f := quarantine.FingerprintOf("w", "POST", "h", "/", nil)
	for n := range 20 {
		all[n%3].o.Table.RecordCrash(f, fmt.Sprint("i-", n), 0)
	}
	rest := func() bool {
		news := false
		for _, a := range all {
			for _, b := range all {
				if a != b && say(a, b) {
					news = true
				}
			}
		}
		return !news
	}
	require.Eventually(t, rest, time.Second, time.Millisecond)
	for _, s := range all {
		require.True(t, s.o.Table.Verdict(f).Refused)
	}
	all[1].o.Table.RecordSuccess(f)
	require.Eventually(t, rest, time.Second, time.Millisecond)
	for _, s := range all {
		require.False(t, s.o.Table.Verdict(f).Refused)
	}
}

// TestProcessThatStartsAgainIsToldAll covers a peer that has lost what it knew.
func TestProcessThatStartsAgainIsToldAll(t *testing.T) {
	all := sharers(2)
	f := quarantine.FingerprintOf("w", "POST", "h", "/", nil)
	for n := range 3 {
		all[0].o.Table.RecordCrash(f, fmt.Sprint("i-", n), 0)
	}
	say(all[0], all[1])
	say(all[1], all[0])
	young := New(Options{Run: "p-1", Table: quarantine.NewTable(), Logger: nopLogger{}})
	young.o.Run = "again"
	m := all[0].message("p-1")
	require.Empty(t, m.GetNews(), "it does not know yet")
	young.hear("p-0", m)
	all[0].hear("p-1", young.message("p-0"))
	young.hear("p-0", all[0].message("p-1"))
	require.True(t, young.o.Table.Verdict(f).Refused)
	young.hear("p-0", &peerpb.Crashes{Run: "p-0", News: []*peerpb.Crash{{Request: []byte("short"), Instance: "i"}}})
	require.Len(t, young.o.Table.Suspects(), 1, "names of another version are left out")
}
