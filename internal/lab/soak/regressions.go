package soak

import "time"

// Regression is a run that failed once and is played again on later versions.
type Regression struct {
	Seed      uint64
	Processes int
	Length    time.Duration
	// Cause is what the run failed of.
	Cause string
}

// Regressions are all runs that ever failed.
var Regressions = []Regression{
	{1, 8, 21 * time.Second, "a process logged after its log sink was closed, and panicked at its end; " +
		"starved processes, which the users' rules excuse from bounds of time, were not noticed"},
	{6, 8, 21 * time.Second, "SIGHUP came 25 ms after a start, before the process could ask for signals"},
	{1, 20, 30 * time.Second, "SIGTERM came before a process could ask for signals"},
	{4, 20, 30 * time.Second, "the port of an instance that was down was taken by a connection"},
	{16, 8, 21 * time.Second, "an instance that crashed just after its start still listened when the next one began"},
	{23, 8, 21 * time.Second, "SIGHUP came while a process was frozen just after its start, and nothing started it again"},
	{28, 8, 21 * time.Second, "an instance that crashed was not noted as the one that broke a request off"},
	{30, 8, 21 * time.Second, "a request that another service's instance answered with 421 was taken for one sent to that service"},
	{35, 8, 21 * time.Second, "as seed 30"},
	{45, 8, 30 * time.Second, "SIGTERM came while a process was frozen just after its start, for longer than a start takes"},
}
