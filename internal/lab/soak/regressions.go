package soak

import "time"

// Regression is a run that failed once and is repeated on later versions.
type Regression struct {
	Seed      uint64
	Processes int
	Length    time.Duration
	// Cause is the reason for which the run failed.
	Cause string
}

// Regressions are all runs that ever failed.
var Regressions = []Regression{
	{1, 8, 21 * time.Second, "a process logged after its log sink was closed, and panicked when it exited; " +
		"starved processes, which the users' rules excuse from time bounds, were not detected"},
	{6, 8, 21 * time.Second, "SIGHUP came 25 ms after a start, before the process had set up its signal handlers"},
	{1, 20, 30 * time.Second, "SIGTERM came before a process had set up its signal handlers"},
	{4, 20, 30 * time.Second, "the port of a stopped instance was taken by another connection"},
	{16, 8, 21 * time.Second, "an instance that crashed just after its start still listened when the next one started"},
	{23, 8, 21 * time.Second, "SIGHUP came while a process was frozen just after its start, and nothing started it again"},
	{28, 8, 21 * time.Second, "an instance that crashed was not recorded as the one that aborted a request"},
	{30, 8, 21 * time.Second, "a request that another service's instance answered with 421 was counted as sent to that service"},
	{35, 8, 21 * time.Second, "same cause as seed 30"},
	{45, 8, 30 * time.Second, "SIGTERM came while a process was frozen just after its start, for longer than a start takes"},
}
