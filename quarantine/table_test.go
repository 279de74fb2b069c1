package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
)

// clocked returns a table and the clock that it reads.
func clocked() (*Table, *bootclock.Instant) {
	now := bootclock.Instant(time.Hour)
	t := NewTable()
	t.now = func() bootclock.Instant { return now }
	return t, &now
}

func named(n int) Fingerprint { return FingerprintOf("w", "POST", "h", fmt.Sprint("/", n), nil) }

// TestThirdEndConvicts covers the way of a request from its first end to its trial.
func TestThirdEndConvicts(t *testing.T) {
	table, now := clocked()
	f := named(1)
	require.True(t, table.Empty())
	for n := range convictAfter {
		require.False(t, table.Admit(f).Refused, "after %d ends", n)
		table.RecordCrash(f, fmt.Sprint("i-", n), 0)
		table.RecordCrash(f, fmt.Sprint("i-", n), 0) // another process says so too
	}
	v := table.Admit(f)
	require.True(t, v.Refused)
	require.Equal(t, refusedFor, v.RetryAfter)
	require.Len(t, v.CrashedInstances, convictAfter)
	require.False(t, table.Admit(named(2)).Refused, "another one")
	*now = now.Add(refusedFor)
	require.False(t, table.Admit(f).Refused, "one try runs")
	require.True(t, table.Admit(f).Refused, "a second one does not run beside it")
	table.RecordCrash(f, "i-9", 0)
	require.Equal(t, refusedFor, table.Admit(f).RetryAfter, "the trial ended an engine")
	*now = now.Add(refusedFor + 1)
	require.False(t, table.Admit(f).Refused)
	table.RecordSuccess(f)
	require.False(t, table.Admit(f).Refused, "the trial went well")
	require.False(t, table.Admit(f).Quarantined)
}

// TestOneRequestIsBlamedForAnEnd has other requests in hand at each engine that one ends. One of
// them goes on beside it at the next engine each time; it was refused with the guilty one.
func TestOneRequestIsBlamedForAnEnd(t *testing.T) {
	table, _ := clocked()
	guilty, beside := named(1), named(2)
	for n := range convictAfter {
		i := fmt.Sprint("i-", n)
		table.RecordCrash(beside, i, 60*time.Millisecond)
		table.RecordCrash(guilty, i, 40*time.Millisecond)
		table.RecordCrash(named(10+n), i, time.Second)
	}
	require.True(t, table.Admit(guilty).Refused)
	require.False(t, table.Admit(beside).Refused)
	require.False(t, table.Admit(named(10)).Refused)
	for n := range convictAfter {
		table.RecordCrash(beside, fmt.Sprint("j-", n), time.Second)
	}
	require.True(t, table.Admit(beside).Refused, "it ends engines by itself")
}

// TestGoodRunSpeaksForARequest covers ends on both sides of a good run, told in another order.
func TestGoodRunSpeaksForARequest(t *testing.T) {
	table, now := clocked()
	f := named(1)
	at := *now
	table.Merge([]Observation{{f, "i-1", 0, at}, {f, "i-2", 0, at}, {f, "", 0, at + 1}, {f, "i-3", 0, at + 2}})
	require.False(t, table.Verdict(f).Refused)
	table.Merge([]Observation{{f, "i-0", 0, at - 1}})
	require.False(t, table.Verdict(f).Refused, "before the good run")
	table.Merge([]Observation{{f, "i-4", 0, at + 3}, {f, "i-5", 0, at + 4}})
	require.True(t, table.Verdict(f).Refused)
}

// TestTablesComeToTheSameVerdict has one table tell another in parts.
func TestTablesComeToTheSameVerdict(t *testing.T) {
	from, _ := clocked()
	to, _ := clocked()
	f := named(1)
	for n := range convictAfter {
		from.RecordCrash(f, fmt.Sprint("i-", n), 0)
	}
	number := uint64(0)
	for range convictAfter {
		all, last := from.ObservationsAfter(number, 1)
		require.Len(t, all, 1)
		require.Greater(t, last, number)
		number = last
		to.Merge(all)
	}
	all, last := from.ObservationsAfter(number, 1)
	require.Empty(t, all)
	require.Equal(t, number, last)
	require.Equal(t, from.Verdict(f), to.Verdict(f))
}

// TestTableIsBounded floods a table with suspects: those that are refused stay.
func TestTableIsBounded(t *testing.T) {
	table, now := clocked()
	guilty := named(-1)
	for n := range convictAfter {
		table.RecordCrash(guilty, fmt.Sprint("i-", n), 0)
	}
	for n := range maxSuspects + 10 {
		*now++
		table.RecordCrash(named(n), "j", 0)
	}
	require.Len(t, table.Suspects(), maxSuspects)
	require.Equal(t, guilty, table.Suspects()[0].Request)
	require.True(t, table.Verdict(guilty).Refused)
	*now = now.Add(suspectFor + refusedFor + 1)
	table.RecordCrash(named(1), "k", 0)
	require.Len(t, table.Suspects(), 1, "what is old is forgotten")
}

func TestFingerprint(t *testing.T) {
	f := FingerprintOf("w", "POST", "h", "/a", []byte("x"))
	got, err := ParseFingerprint(f.String())
	require.NoError(t, err)
	require.Equal(t, f, got)
	require.NotEqual(t, f, FingerprintOf("v", "POST", "h", "/a", []byte("x")), "another workspace's")
	require.NotEqual(t, f, FingerprintOf("w", "POST", "h/", "a", []byte("x")))
	for _, text := range []string{"", "zz", f.String() + "00", "z" + f.String()[1:]} {
		_, err := ParseFingerprint(text)
		require.Error(t, err, text)
	}
}
