package quarantine

import (
	"fmt"
	"slices"
	"strings"
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
	require.Equal(t, firstTrialDelay, v.RetryAfter)
	require.Len(t, v.CrashedInstances, quarantineThreshold)
	require.False(t, table.Admit(testFingerprint(2)).Refused, "another request")
	wait := firstTrialDelay
	for n, next := range []time.Duration{time.Minute, quarantineTime, quarantineTime} {
		*now = now.Add(wait - 1)
		require.True(t, table.Admit(f).Refused, "before trial %d", n)
		*now++
		require.True(t, table.Admit(f).Trial, "trial %d is permitted", n)
		require.True(t, table.Admit(f).Refused, "no second trial at the same time")
		table.RecordCrash(f, fmt.Sprint("j-", n), 0)
		require.Equal(t, next, table.Admit(f).RetryAfter, "trial %d crashed an engine", n)
		wait = next
	}
	*now = now.Add(quarantineTime + 1)
	require.False(t, table.Admit(f).Refused)
	table.RecordCompletion(f, "i-9")
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
	crash := func(instance string, at bootclock.Instant) Observation {
		return Observation{Request: f, Instance: instance, At: at}
	}
	table.Merge([]Observation{crash("i-1", at), crash("i-2", at), {Request: f, At: at + 1}, crash("i-3", at+2)})
	require.False(t, table.Verdict(f).Refused)
	table.Merge([]Observation{crash("i-0", at-1)})
	require.False(t, table.Verdict(f).Refused, "before the successful run")
	table.Merge([]Observation{crash("i-4", at+3), crash("i-5", at+4)})
	require.True(t, table.Verdict(f).Refused)
}

// TestCompletionByOneInstanceDoesNotHideCrashes repeats two crashes and a completion by the one
// instance that survives the request. Each completion cleared the crashes before it, so the third was
// never counted: in a fleet of nine engines with one that survives, one request crashed 63.
func TestCompletionByOneInstanceDoesNotHideCrashes(t *testing.T) {
	table, now := newTestTable()
	f := testFingerprint(1)
	crashes := 0
	for ; !table.Verdict(f).Refused && crashes < 20; crashes++ {
		*now = now.Add(time.Second)
		table.RecordCrash(f, fmt.Sprint("i-", crashes), 0)
		if crashes%2 == 1 {
			*now = now.Add(time.Millisecond)
			table.RecordCompletion(f, "survivor")
		}
	}
	require.Equal(t, crashesDespiteCompletions, crashes)
	require.Len(t, table.Verdict(f).CrashedInstances, crashesDespiteCompletions)
	table.RecordCompletion(f, "survivor")
	require.True(t, table.Verdict(f).Refused, "a run that had started before")

	*now = now.Add(quarantineTime)
	require.True(t, table.Admit(f).Trial)
	*now++
	table.RecordCompletion(f, "survivor")
	require.False(t, table.Verdict(f).Quarantined, "the trial was successful")
}

// TestCompletionsByManyInstancesClearARequest has a frequent request in flight at crashes that it
// does not cause.
func TestCompletionsByManyInstancesClearARequest(t *testing.T) {
	table, now := newTestTable()
	f := testFingerprint(1)
	for n := range 20 {
		*now = now.Add(time.Second)
		table.RecordCrash(f, fmt.Sprint("i-", n), 0)
		*now = now.Add(time.Millisecond)
		table.RecordCompletion(f, fmt.Sprint("other-", n%3))
		require.False(t, table.Verdict(f).Quarantined)
	}
	table, now = newTestTable()
	for range 20 {
		*now = now.Add(time.Second)
		table.RecordCrash(f, "restarts under one name", 0)
		*now = now.Add(time.Millisecond)
		table.RecordCompletion(f, "other")
		require.False(t, table.Verdict(f).Quarantined)
	}
}

// TestOperatorClearsCrashesDespiteCompletions checks that the decision of an operator holds although
// a single instance completes the request afterwards.
func TestOperatorClearsCrashesDespiteCompletions(t *testing.T) {
	table, now := newTestTable()
	f := testFingerprint(1)
	for n := range crashesDespiteCompletions {
		table.RecordCrash(f, fmt.Sprint("i-", n), 0)
	}
	*now++
	table.Clear(f)
	require.False(t, table.Verdict(f).Quarantined)
	table.RecordCrash(f, "i-9", 0)
	*now++
	table.RecordCompletion(f, "survivor")
	require.False(t, table.Verdict(f).Quarantined)
}

// TestSuspectsExpireByTheClock checks that time alone ends the retention of a suspect.
func TestSuspectsExpireByTheClock(t *testing.T) {
	table, now := newTestTable()
	f := testFingerprint(1)
	table.RecordCrash(f, "i-1", 0)
	*now = now.Add(suspectRetention)
	require.Len(t, table.Suspects(), 1)
	*now = now.Add(sweepInterval)
	require.Empty(t, table.Suspects())
	require.True(t, table.Empty())

	for n := range quarantineThreshold {
		table.RecordCrash(f, fmt.Sprint("i-", n), 0)
	}
	*now = now.Add(quarantineTime + suspectRetention)
	require.True(t, table.Verdict(f).Quarantined, "a trial is permitted")
	*now = now.Add(sweepInterval)
	require.False(t, table.Verdict(f).Quarantined)
	require.Empty(t, table.Suspects())
}

// TestOldCrashesDoNotCount has three crashes of which no two are within the retention. Crashes of
// trials count, however late they are.
func TestOldCrashesDoNotCount(t *testing.T) {
	table, now := newTestTable()
	f := testFingerprint(1)
	for n := range 4 {
		table.RecordCrash(f, fmt.Sprint("i-", n), 0)
		require.False(t, table.Verdict(f).Quarantined, "after %d crashes", n+1)
		*now = now.Add(suspectRetention * 2 / 3)
	}
	*now = now.Add(suspectRetention)
	for n := range quarantineThreshold {
		table.RecordCrash(f, fmt.Sprint("j-", n), 0)
	}
	for n := range 2 * maxCrashes {
		*now = now.Add(quarantineTime + time.Minute)
		require.True(t, table.Admit(f).Trial, "trial %d", n)
		table.RecordCrash(f, fmt.Sprint("k-", n), 0)
		require.True(t, table.Verdict(f).Refused, "after trial %d", n)
	}
}

// TestOrderOfSuspects has suspects with equal numbers of crashes, and one whose crashes were cleared.
func TestOrderOfSuspects(t *testing.T) {
	table, now := newTestTable()
	crash := func(request int, instances ...string) {
		for _, i := range instances {
			*now++
			table.RecordCrash(testFingerprint(request), i, 0)
		}
	}
	crash(1, "a", "b", "c", "d")
	*now++
	table.Clear(testFingerprint(1))
	crash(2, "e")
	crash(3, "f", "g")
	for n := range 5 {
		table.RecordCrash(testFingerprint(10+n), "i", 0)
	}
	var got []Fingerprint
	for _, s := range table.Suspects() {
		got = append(got, s.Request)
	}
	require.Equal(t, testFingerprint(3), got[0])
	require.True(t, slices.IsSortedFunc(got[1:6], func(a, b Fingerprint) int { return strings.Compare(a.String(), b.String()) }), "equal ones: %v", got[1:6])
	require.Equal(t, []Fingerprint{testFingerprint(2), testFingerprint(1)}, got[6:])
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

// TestReadIsServedAfterATrialThatFollowsAMassLoss loses many instances at once while all of them run a read that harms none.
func TestReadIsServedAfterATrialThatFollowsAMassLoss(t *testing.T) {
	table, now := newTestTable()
	f := testFingerprint(1)
	for n := range maxCrashes {
		table.RecordCrash(f, fmt.Sprint("i-", n), 0)
	}
	require.True(t, table.Admit(f).Refused)
	*now += bootclock.Instant(firstTrialDelay)
	require.True(t, table.Admit(f).Trial)
	table.RecordCompletion(f, "other")
	require.False(t, table.Admit(f).Refused)
}

// TestSurvivorClearsAPoisonRequestOnce has the only instance that survives a request complete each trial of it.
func TestSurvivorClearsAPoisonRequestOnce(t *testing.T) {
	table, now := newTestTable()
	f := testFingerprint(1)
	for round := range 3 {
		for n := range maxCrashes {
			*now += bootclock.Instant(2 * sameCrashWindow)
			table.RecordCrash(f, fmt.Sprint(round, "-", n), 0)
		}
		*now += bootclock.Instant(firstTrialDelay)
		table.RecordCompletion(f, "survivor")
		require.Equal(t, round > 0, table.Verdict(f).Refused, "round %d", round)
	}
}
