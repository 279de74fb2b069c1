package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
)

// newTestTable returns a table and its clock.
func newTestTable() (*Table, *bootclock.Instant) {
	now := bootclock.Instant(time.Hour)
	t := NewTable()
	t.now = func() bootclock.Instant { return now }
	return t, &now
}

func testFingerprint(n int) Fingerprint {
	return FingerprintOf("w", "POST", "h", fmt.Sprint("/", n), nil)
}

// TestThirdCrashQuarantines follows a request from its first crash to its trials.
func TestThirdCrashQuarantines(t *testing.T) {
	table, now := newTestTable()
	f := testFingerprint(1)
	require.True(t, table.Empty())
	for n := range quarantineThreshold {
		require.False(t, table.Admit(f).Refused, "after %d crashes", n)
		table.RecordCrash(f, fmt.Sprint("i-", n), 0)
		table.RecordCrash(f, fmt.Sprint("i-", n), 0) // as observed by another process
	}
	v := table.Admit(f)
	require.True(t, v.Refused)
	require.Equal(t, quarantineTime, v.RetryAfter)
	require.Len(t, v.CrashedInstances, quarantineThreshold)
	require.False(t, table.Admit(testFingerprint(2)).Refused, "another request")
	*now = now.Add(quarantineTime)
	require.False(t, table.Admit(f).Refused, "the trial is permitted")
	require.True(t, table.Admit(f).Refused, "no second trial at the same time")
	table.RecordCrash(f, "i-9", 0)
	require.Equal(t, quarantineTime, table.Admit(f).RetryAfter, "the trial crashed an engine")
	*now = now.Add(quarantineTime + 1)
	require.False(t, table.Admit(f).Refused)
	table.RecordSuccess(f)
	require.False(t, table.Admit(f).Refused, "the trial was successful")
	require.False(t, table.Admit(f).Quarantined)
}

// TestOneRequestIsBlamedForACrash checks that a request that is in flight on the same engines as a
// poison request, after each retry, is not rejected together with it.
func TestOneRequestIsBlamedForACrash(t *testing.T) {
	table, _ := newTestTable()
	poison, concurrent := testFingerprint(1), testFingerprint(2)
	for n := range quarantineThreshold {
		i := fmt.Sprint("i-", n)
		table.RecordCrash(concurrent, i, 60*time.Millisecond)
		table.RecordCrash(poison, i, 40*time.Millisecond)
		table.RecordCrash(testFingerprint(10+n), i, time.Second)
	}
	require.True(t, table.Admit(poison).Refused)
	require.False(t, table.Admit(concurrent).Refused)
	require.False(t, table.Admit(testFingerprint(10)).Refused)
	for n := range quarantineThreshold {
		table.RecordCrash(concurrent, fmt.Sprint("j-", n), time.Second)
	}
	require.True(t, table.Admit(concurrent).Refused, "it crashes engines by itself")
}

// TestSuccessClearsARequest checks that only crashes after the last successful run count, also if
// the observations arrive out of order.
func TestSuccessClearsARequest(t *testing.T) {
	table, now := newTestTable()
	f := testFingerprint(1)
	at := *now
	table.Merge([]Observation{{f, "i-1", 0, at}, {f, "i-2", 0, at}, {f, "", 0, at + 1}, {f, "i-3", 0, at + 2}})
	require.False(t, table.Verdict(f).Refused)
	table.Merge([]Observation{{f, "i-0", 0, at - 1}})
	require.False(t, table.Verdict(f).Refused, "before the successful run")
	table.Merge([]Observation{{f, "i-4", 0, at + 3}, {f, "i-5", 0, at + 4}})
	require.True(t, table.Verdict(f).Refused)
}

// TestMergedTablesAgree merges the observations of one table into another, one at a time.
func TestMergedTablesAgree(t *testing.T) {
	from, _ := newTestTable()
	to, _ := newTestTable()
	f := testFingerprint(1)
	for n := range quarantineThreshold {
		from.RecordCrash(f, fmt.Sprint("i-", n), 0)
	}
	number := uint64(0)
	for range quarantineThreshold {
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

// TestTableIsBounded floods a table with suspects and checks that a rejected one is not evicted.
func TestTableIsBounded(t *testing.T) {
	table, now := newTestTable()
	poison := testFingerprint(-1)
	for n := range quarantineThreshold {
		table.RecordCrash(poison, fmt.Sprint("i-", n), 0)
	}
	for n := range maxSuspects + 10 {
		*now++
		table.RecordCrash(testFingerprint(n), "j", 0)
	}
	require.Len(t, table.Suspects(), maxSuspects)
	require.Equal(t, poison, table.Suspects()[0].Request)
	require.True(t, table.Verdict(poison).Refused)
	*now = now.Add(suspectRetention + quarantineTime + 1)
	table.RecordCrash(testFingerprint(1), "k", 0)
	require.Len(t, table.Suspects(), 1, "expired suspects are removed")
}

func TestFingerprint(t *testing.T) {
	f := FingerprintOf("w", "POST", "h", "/a", []byte("x"))
	got, err := ParseFingerprint(f.String())
	require.NoError(t, err)
	require.Equal(t, f, got)
	require.NotEqual(t, f, FingerprintOf("v", "POST", "h", "/a", []byte("x")), "of another workspace")
	require.NotEqual(t, f, FingerprintOf("w", "POST", "h/", "a", []byte("x")))
	for _, text := range []string{"", "zz", f.String() + "00", "z" + f.String()[1:]} {
		_, err := ParseFingerprint(text)
		require.Error(t, err, text)
	}
}
