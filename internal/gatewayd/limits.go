package gatewayd

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/rockdoor/rockdoor/bootclock"
)

// LimitsStatus is the state of the rate limits of instances, as one gateway knows it.
type LimitsStatus struct {
	// Keeper is the process that grants requests to this one, Part is the share of each rate that
	// it may grant.
	Keeper string        `json:"keeper"`
	Part   float64       `json:"part"`
	Limits []LimitStatus `json:"limits"`
}

// LimitStatus is the rate limit of one run of an instance. ForMs is how long the instance has been
// limited, HeardMs how long ago its last report was received.
type LimitStatus struct {
	Instance string `json:"instance"`
	// PerSecond is the limit in requests per second for all gateways together.
	PerSecond float64 `json:"perSecond"`
	ForMs     int64   `json:"forMs"`
	HeardMs   int64   `json:"heardMs"`
	// Wanted is the demand of this gateway in requests per second.
	Wanted float64 `json:"wanted"`
}

// rateLimits responds with the rate limits of all instances that have one.
func (d *Daemon) rateLimits(w http.ResponseWriter, _ *http.Request) {
	out := LimitsStatus{Keeper: d.grantSync.Coordinator(), Part: d.grantSync.Share(), Limits: []LimitStatus{}}
	for run, s := range d.limits.AllLimits() {
		out.Limits = append(out.Limits, LimitStatus{
			Instance: run, PerSecond: s.PerSecond, ForMs: bootclock.Since(s.LimitedSince).Milliseconds(), HeardMs: bootclock.Since(s.ReceivedAt).Milliseconds(),
			Wanted: d.limits.DemandRate(run),
		})
	}
	slices.SortFunc(out.Limits, func(a, b LimitStatus) int { return cmp.Compare(a.Instance, b.Instance) })
	d.writeJSON(w, http.StatusOK, out)
}
