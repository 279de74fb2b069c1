package ratelimit

import (
	"math"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
)

// maxAge bounds the ages that are told: older ones are as good as that.
const maxAge = time.Hour

func encodeAll(all map[string]RateReport) []*peerpb.RateLimit {
	var out []*peerpb.RateLimit
	for run, s := range all {
		out = append(out, encode(run, s))
	}
	return out
}

func encode(run string, s RateReport) *peerpb.RateLimit {
	now := bootclock.Now()
	return &peerpb.RateLimit{
		Instance: run, Limited: s.Limited, PerSecond: s.PerSecond,
		SentAgeUs: age(s.SentAt, now), HeardAgeUs: age(s.ReceivedAt, now), BeganAgeUs: age(s.LimitedSince, now),
	}
}

func age(at, now bootclock.Instant) uint64 {
	return uint64(min(max(now.Sub(at), 0), maxAge).Microseconds())
}

// decode reads what another process says. A rate that is none counts as the least.
func decode(l *peerpb.RateLimit, now bootclock.Instant) RateReport {
	at := func(us uint64) bootclock.Instant {
		return now.Add(-min(time.Duration(min(us, math.MaxInt64/1000))*time.Microsecond, maxAge))
	}
	s := RateReport{RateLimit: engine.RateLimit{Limited: l.GetLimited()}, SentAt: at(l.GetSentAgeUs()), ReceivedAt: at(l.GetHeardAgeUs()), LimitedSince: at(l.GetBeganAgeUs())}
	if rate := l.GetPerSecond(); s.Limited && rate > 0 && !math.IsInf(rate, 0) {
		s.PerSecond = rate
	}
	return s
}
