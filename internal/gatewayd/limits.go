package gatewayd

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/rockdoor/rockdoor/bootclock"
)

// LimitsStatus is what a gateway knows of instances that limit the rate of requests.
type LimitsStatus struct {
	// Keeper grants the requests, Part is what it may grant of each rate.
	Keeper string        `json:"keeper"`
	Part   float64       `json:"part"`
	Limits []LimitStatus `json:"limits"`
}

// LimitStatus is the rate limit of one run of an instance.
type LimitStatus struct {
	Instance string `json:"instance"`
	// PerSecond is in requests a second from all gateways.
	PerSecond float64 `json:"perSecond"`
	ForMs     int64   `json:"forMs"`
	HeardMs   int64   `json:"heardMs"`
	// Wanted is how many requests a second this gateway would send there.
	Wanted float64 `json:"wanted"`
}

// rateLimits lists the instances that limit the rate of requests.
func (d *Daemon) rateLimits(w http.ResponseWriter, _ *http.Request) {
	out := LimitsStatus{Keeper: d.grants.Coordinator(), Part: d.grants.Share(), Limits: []LimitStatus{}}
	for run, s := range d.limits.AllLimits() {
		out.Limits = append(out.Limits, LimitStatus{
			Instance: run, PerSecond: s.PerSecond, ForMs: bootclock.Since(s.LimitedSince).Milliseconds(), HeardMs: bootclock.Since(s.ReceivedAt).Milliseconds(),
			Wanted: d.limits.DemandRate(run),
		})
	}
	slices.SortFunc(out.Limits, func(a, b LimitStatus) int { return cmp.Compare(a.Instance, b.Instance) })
	d.answer(w, http.StatusOK, out)
}
