// Package shares divides the engine time of a service among workspaces while there is too little of
// it. The division is weighted max-min fair: no workspace can get more without taking from one that
// has less in proportion to its weight. All functions are pure; the caller states the time.
package shares

import (
	"math"
	"time"
)

const (
	// Urgencies is the number of ranks at which prompts are prefilled while they are in time. Work is
	// accounted by urgency, so that a workspace's less urgent prompts don't use up the share of its
	// more urgent ones.
	Urgencies = 5
	// Window is the time constant with which work is forgotten. A workspace can make use of a share
	// that it left unused for at most this long. It is about the time for which clients wait for a
	// response to begin, so that a short burst of a small workspace isn't over its share.
	Window = 2 * time.Second
	// maxQueue is how long the prompts within shares may keep the engines busy. Urgent responses must
	// begin within about twice this time; a longer queue makes most of them late.
	maxQueue = 250 * time.Millisecond
	// usable is the part of the engine time that is divided. Prompts that are cached no more take time
	// that estimates leave out; what is left over is lent.
	usable = 0.98
	// minSpare is the least part of the engine time that is assumed to be left for prompts over their
	// share. Estimates are never so exact that the engines have no gaps.
	minSpare = 0.2
	// maxExcess bounds the ratio of demand to share that a decision considers. Retry delays grow with
	// it, and clients don't wait longer than several times the delay of their first retry.
	maxExcess = 3.0
)

// Use is the engine time that a workspace asked for and got.
type Use struct {
	// Workspace is empty for the sum of Others workspaces.
	Workspace string
	Others    int
	// DemandMs is the engine time of all prompts, which decays with Window. HeldMs is that of the
	// prompts placed within the share whose prefill has not ended, by urgency, and GrantedMs that of
	// those whose prefill has ended, which decays from then on.
	DemandMs          float64
	HeldMs, GrantedMs [Urgencies]float64
	// PendingMs is the engine time of the prompts that are not prefilled yet.
	PendingMs float64
	// RefusedMs is the engine time of the prompts that this process refused, which decays with Window.
	// It is not exchanged.
	RefusedMs float64
}

// Add returns the sum of two uses.
func (u Use) Add(v Use) Use {
	u.DemandMs += v.DemandMs
	u.PendingMs += v.PendingMs
	u.RefusedMs += v.RefusedMs
	u.Others += v.Others
	for n := range u.GrantedMs {
		u.GrantedMs[n] += v.GrantedMs[n]
		u.HeldMs[n] += v.HeldMs[n]
	}
	return u
}

// Fade returns the use after a time without news of it.
func (u Use) Fade(age time.Duration) Use {
	f := decay(age)
	u.DemandMs *= f
	u.PendingMs *= f
	u.RefusedMs *= f
	for n := range u.GrantedMs {
		u.GrantedMs[n] *= f
		u.HeldMs[n] *= f
	}
	return u
}

// demand returns the engine time that the workspace needs in Window. What is pending was asked for
// before, maybe so long ago that it doesn't count any more.
func (u Use) demand() float64 { return max(u.DemandMs, u.PendingMs) }

// Granted returns the engine time granted to prompts of an urgency and of all more urgent ones.
func (u Use) Granted(urgency int) float64 {
	return sumThrough(&u.GrantedMs, urgency) + sumThrough(&u.HeldMs, urgency)
}

// Held is the part of Granted whose prompts are not prefilled yet.
func (u Use) Held(urgency int) float64 { return sumThrough(&u.HeldMs, urgency) }

func sumThrough(byUrgency *[Urgencies]float64, urgency int) float64 {
	sum := 0.0
	for _, ms := range byUrgency[:clampUrgency(urgency)+1] {
		sum += ms
	}
	return sum
}

func clampUrgency(u int) int { return min(max(u, 0), Urgencies-1) }

func decay(age time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / Window.Seconds())
}

// Division is the result of dividing engine time.
type Division struct {
	// Tight is true if the demand exceeds the engine time.
	Tight bool
	// CapacityMs is the engine time in Window, GrantedMs the part granted within shares.
	CapacityMs, GrantedMs float64
	uses                  []Use // by name, so that sums don't depend on the order of a map
	level                 float64
	// fullCapacityMs is CapacityMs without what a long queue takes.
	fullCapacityMs float64
	settings       *Settings
}

const windowMs = float64(Window / time.Millisecond)

// queueShare is the part of the engine time in Window that a queue of maxQueue takes.
const queueShare = float64(maxQueue) / float64(Window)

// levelSteps is the number of bisections that find the level. They leave an error far below that of
// the estimated times.
const levelSteps = 40

// Divide divides the time of a number of engines among workspaces. A queue of more than twice maxQueue,
// whose prompts were placed before there was too little time, takes from what is divided until it is
// prefilled.
func Divide(engines float64, uses, rest []Use, s *Settings) Division {
	d := Division{CapacityMs: usable * engines * windowMs, uses: uses, settings: s}
	var sum Use
	demand := 0.0
	for _, u := range uses {
		sum = sum.Add(u)
		demand += u.demand()
	}
	for _, u := range rest {
		sum = sum.Add(u)
		demand += u.demand()
	}
	d.GrantedMs = sum.Granted(Urgencies - 1)
	queue := queueShare * d.CapacityMs
	d.Tight = d.CapacityMs > 0 && (demand > d.CapacityMs || sum.PendingMs > queue)
	held := sum.Held(Urgencies - 1)
	d.fullCapacityMs = d.CapacityMs
	d.CapacityMs = max(d.CapacityMs-max(held-2*queue, 0), queue)
	if !d.Tight {
		return d
	}
	d.level = d.findLevel(rest)
	return d
}

// findLevel returns the engine time per weight at which all of it is used.
func (d *Division) findLevel(rest []Use) float64 {
	low, high := 0.0, d.CapacityMs/minWeight
	for range levelSteps {
		middle := (low + high) / 2
		if d.used(middle, rest) > d.CapacityMs {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// used returns the engine time that is used at a level.
func (d *Division) used(level float64, rest []Use) float64 {
	sum := 0.0
	for _, u := range d.uses {
		sum += min(u.demand(), d.shareAt(u.Workspace, level))
	}
	for _, u := range rest {
		sum += min(u.demand(), level*float64(max(u.Others, 1)))
	}
	return sum
}

func (d *Division) shareAt(workspace string, level float64) float64 {
	w := d.settings.of(workspace)
	return min(max(level*w.Weight, w.Floor*d.CapacityMs), w.Cap*d.CapacityMs)
}

// Share returns the engine time in Window that a workspace may use.
func (d *Division) Share(workspace string) float64 {
	if !d.Tight {
		return d.CapacityMs
	}
	return d.shareAt(workspace, d.level)
}

// Standing compares a workspace's use with its share.
type Standing struct {
	// Tight is true if there is too little engine time. Otherwise shares have no effect.
	Tight bool
	// Within is true if the prompt is within the workspace's share.
	Within bool
	// Excess is the ratio of the workspace's demand to its share, at least 1.
	Excess float64
	// Young is true if the use has been known for less than Window, for example after a start or a loss
	// of all engines. Nothing is refused then.
	Young bool
	// Spare is the part of the engine time that prompts within shares leave.
	Spare float64
	// Capped is true if the operator's cap keeps the workspace from borrowing.
	Capped bool
}

// Standing decides whether a prompt that keeps an engine busy for a time in ms is within its
// workspace's share. It answers a load in which workspaces ask for more engine time than there is,
// through any schedulers: use is what all of them granted. A prompt counts from when it is placed, so
// the time that it is in service is added to the share.
func (d *Division) Standing(workspace string, use Use, urgency int, busyMs float64) Standing {
	if !d.Tight {
		return Standing{Within: true, Excess: 1, Spare: 1}
	}
	share := d.Share(workspace)
	s := Standing{Tight: true, Excess: min(max(use.demand()/max(share, 1), 1), maxExcess), Spare: max(1-d.GrantedMs/d.CapacityMs, minSpare)}
	inService := busyMs * share / windowMs
	fitsQueue := use.Held(urgency)+busyMs <= max(queueShare*share+inService, busyMs)+rounding
	s.Within = fitsQueue && use.Granted(urgency)-use.Held(urgency)/2 <= threshold(share+inService/2, busyMs)
	limit := d.settings.of(workspace).Cap
	s.Capped = !s.Within && limit < 1 && use.DemandMs > limit*d.fullCapacityMs
	return s
}

// rounding is the error of sums of times, in ms.
const rounding = 0.01

// threshold returns the decayed use up to which a prompt is granted, so that the mean use equals the
// share if all prompts are alike. A prompt can't be divided: the use rises by all of it and decays
// until the next one.
func threshold(share, busyMs float64) float64 {
	if busyMs <= 0 {
		return share
	}
	return busyMs / math.Expm1(busyMs/max(share, 1))
}

// Refuse decides whether a prompt over its workspace's share is refused. queue is how long the prompts
// before it keep the engine busy, remaining how long its client waits. The time that prompts within
// shares leave decides how long it really waits. The more a workspace asks for beyond its share, the
// sooner it is refused, so that the one furthest over its share is refused first.
func (s Standing) Refuse(queue, prefill, remaining time.Duration) bool {
	if s.Within || s.Young {
		return false
	}
	wait := time.Duration(float64(queue) / s.Spare * s.Excess)
	return s.Capped || wait+prefill > remaining
}

// RetryAfter returns the retry delay of a refused prompt, from minimum to three times Window. It grows
// with the workspace's excess.
func (s Standing) RetryAfter(queue, minimum time.Duration) time.Duration {
	return min(max(time.Duration(float64(queue)*s.Excess), minimum), maxRetryAfter)
}

// maxRetryAfter is the time in which use is forgotten to a twentieth.
const maxRetryAfter = 3 * Window
