package discovery

import "time"

// Shares of the propagation limit.
const (
	// hopShare is by how much the configuration ages with each process between the store and this one.
	hopShare = 0.1
	// overdueShare is how much older than without faults the configuration gets before a process asks others.
	overdueShare = 0.05
	// lostSourceShare is the age from which on a scheduler asks others if its source is known to have lost the store.
	lostSourceShare = 0.05
	// schedulerRoundShare and followerRoundShare are the intervals between two rounds of calls.
	schedulerRoundShare = 0.0625
	followerRoundShare  = 0.125
	// followerReadShare is the age from which on a process that is no scheduler reads the store.
	followerReadShare = 0.6
)

const (
	// followerPeers is how many schedulers a process that is no scheduler asks in a round. A scheduler asks all others.
	followerPeers = 2
	// maxRoundBackoff and maxReadBackoff bound how many times longer the intervals between rounds and between reads get
	// if more than quickRetries of these fail.
	maxRoundBackoff = 2
	maxReadBackoff  = 4
	quickRetries    = 2
)

// refreshInputs are the facts that decide when a process confirms its configuration in other ways than through its source.
type refreshInputs struct {
	limit, watchWait     time.Duration
	watching, scheduling bool
	// others is the number of schedulers that can be asked.
	others int
	// age is the time since the configuration was last confirmed.
	age time.Duration
	// sourceLost is true if the source is known to have lost the store. readsWanted is true if the followed scheduler has
	// found no other confirmation either.
	sourceLost, readsWanted bool
	// sinceRound is the time since the last round of calls to other processes, and failedRounds how many rounds in a row
	// found nobody whose source has the store. sinceRead and failedReads are the same for reads of the store.
	sinceRound, sinceRead     time.Duration
	failedRounds, failedReads int
	// readDelay is the time that a process which is no scheduler lets pass before its next read of the store.
	readDelay time.Duration
}

// refreshPlan says what to do now. If there is nothing to do, wait is the time until there may be.
type refreshPlan struct {
	peers int
	read  bool
	wait  time.Duration
}

func (in *refreshInputs) share(s float64) time.Duration {
	return time.Duration(s * float64(in.limit))
}

// plan decides which ways to use now.
func (in *refreshInputs) plan() refreshPlan {
	untilRound, untilRead := in.untilRound(), in.untilRead()
	p := refreshPlan{read: untilRead <= 0, wait: min(untilRound, untilRead)}
	if untilRound <= 0 {
		p.peers = in.others
		if !in.scheduling {
			p.peers = min(followerPeers, in.others)
		}
	}
	return p
}

// overdueAge returns the age from which on other processes are asked.
func (in *refreshInputs) overdueAge() time.Duration {
	switch {
	case in.scheduling && in.sourceLost:
		return in.share(lostSourceShare)
	case in.watching:
		return in.watchWait + in.share(overdueShare)
	case in.scheduling:
		return in.watchWait + in.share(hopShare+overdueShare)
	}
	return in.watchWait + in.share(2*hopShare+overdueShare)
}

func (in *refreshInputs) untilRound() time.Duration {
	if in.others == 0 {
		return in.limit
	}
	interval := in.share(followerRoundShare)
	if in.scheduling {
		interval = in.share(schedulerRoundShare)
	}
	return max(in.overdueAge()-in.age, backOff(interval, in.failedRounds, maxRoundBackoff)-in.sinceRound)
}

// untilRead returns the time until the next read of the store. A watching process has its watches.
func (in *refreshInputs) untilRead() time.Duration {
	switch {
	case in.watching:
		return in.limit
	case in.scheduling:
		return max(in.overdueAge()-in.age, backOff(in.share(schedulerRoundShare), in.failedReads, maxReadBackoff)-in.sinceRead)
	case in.readsWanted:
		return in.readDelay
	}
	return max(in.share(followerReadShare)-in.age, in.readDelay)
}

// backOff returns an interval that doubles with each failure after the first few, up to most times the interval.
func backOff(interval time.Duration, failures, most int) time.Duration {
	doublings := min(max(failures-quickRetries, 0), most)
	return interval * time.Duration(min(1<<doublings, most))
}
