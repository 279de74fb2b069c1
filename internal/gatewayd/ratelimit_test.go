package gatewayd

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

const (
	// rateWindow is the time in which an instance that names a rate may get it, as often as rateUse.
	rateWindow = 4 * time.Second
	rateUse    = 1.2
	// ratesHeard is how long after its first answer with a limit an instance is owed it by all.
	ratesHeard = 500 * time.Millisecond
	// rateTime is for how long requests are sent.
	rateTime = 10 * time.Second
)

// sendTo has all processes send requests to a path, each sendGap one, for some time.
func sendTo(all []*process, path string, header http.Header, sendGap, during time.Duration) {
	run := time.Now().UnixNano()
	stop := sendAlways(len(all), func(id string, _ int) {
		var c int
		_, _ = fmt.Sscanf(id, "%d-", &c) // the ids begin with the number of the caller
		all[c].send(path, fmt.Sprint(all[c].set.Name, "/", run, "/", id), header)
		time.Sleep(sendGap)
	})
	time.Sleep(during)
	stop()
}

// arrivedAt returns when requests arrived at an engine, in order.
func arrivedAt(e *fleetengine.Engine) []time.Time {
	var out []time.Time
	for _, run := range slices.Concat(e.Runs(), e.Reads(), e.Refused()) {
		out = append(out, run.At)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// mostWithin returns the most that arrived within any window that begins from a time on.
func mostWithin(arrived []time.Time, from time.Time, window time.Duration) (most int) {
	for n, at := range arrived {
		if at.Before(from) {
			continue
		}
		end, _ := slices.BinarySearchFunc(arrived, at.Add(window), time.Time.Compare)
		most = max(most, end-n)
	}
	return most
}

// countBetween returns how many arrived from a time until another.
func countBetween(arrived []time.Time, from, until time.Time) (n int) {
	for _, at := range arrived {
		if !at.Before(from) && at.Before(until) {
			n++
		}
	}
	return n
}

// TestRateLimitHoldsForTheSumOfAllProcesses has an instance name how many requests a second it takes
// from all processes together. Each of seven processes went on as before, and the instance got three
// times as many as it had named. A process that kept the whole of it by itself would have sent as
// many as all may.
func TestRateLimitHoldsForTheSumOfAllProcesses(t *testing.T) {
	const sendGap = 150 * time.Millisecond
	for _, c := range []struct {
		fleet string
		rate  float64
		most  float64
	}{
		{"few", 5, rateUse * 5 * 4},
		{"large", 5, rateUse * 5 * 4},
		{"large", 0.5, 1.5*0.5*4 + 5}, // less than one request a process and window
	} {
		t.Run(fmt.Sprint(c.fleet, " at ", c.rate), func(t *testing.T) {
			d := newDeployment(t)
			d.bound = "3s"
			all := fleetStarts[c.fleet](d)
			limited := d.engines[0]
			limited.SetRateLimit(strconv.FormatFloat(c.rate, 'f', -1, 64))
			begun := time.Now()
			sendTo(all, "/app/x", nil, sendGap, rateTime)
			var st LimitsStatus
			decider := slices.IndexFunc(all, func(p *process) bool { return p.state(t).Scheduling })
			all[decider].get(t, "/limits", &st)
			require.Len(t, st.Limits, 1)
			require.Equal(t, limited.ID, st.Limits[0].Instance)
			require.Equal(t, c.rate, st.Limits[0].PerSecond)
			arrived := arrivedAt(limited)
			require.NotEmpty(t, arrived)
			most := mostWithin(arrived, arrived[0].Add(ratesHeard), rateWindow)
			used := countBetween(arrived, begun.Add(rateTime-rateWindow), begun.Add(rateTime))
			t.Logf("%d in all, at most %d in %s, the last %s %d", len(arrived), most, rateWindow, rateWindow, used)
			require.LessOrEqual(t, float64(most), c.most, "in %s, of a limit of %v a second", rateWindow, c.rate)
			require.GreaterOrEqual(t, float64(used), 0.9*c.rate*rateWindow.Seconds()-1, "it takes that many")
		})
	}
}

// TestWhatAllLimitedInstancesTakeIsUsed has all instances of a service limit their rates while more is
// wanted. Requests were refused at processes that had no grant at that moment, while grants lapsed at
// others, and prompts were read for which no engine that runs took a request: 0.25 of the worth of a day.
func TestWhatAllLimitedInstancesTakeIsUsed(t *testing.T) {
	const (
		rate    = 20.0
		callers = 5 // of each process
		sendGap = 120 * time.Millisecond
		most    = 0.1 // of the prompts are read for nothing
	)
	for name, c := range map[string]struct {
		path    string
		header  http.Header
		limits  []string // of the engines, in order
		runners []int
		rate    float64
	}{
		"runs":  {"/app/x", nil, []string{"20", "20"}, []int{0, 1}, 2 * rate},
		"reads": {"/llm/x", longPrompt, []string{"", "", "12", "20"}, []int{3}, rate},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.bound = "3s"
			all := fleetStarts["few"](d)
			for n, limit := range c.limits {
				d.engines[n].SetRateLimit(limit)
			}
			var senders []*process
			for range callers {
				senders = append(senders, all...)
			}
			begun := time.Now()
			sendTo(senders, c.path, c.header, sendGap, rateTime)
			from, until := begun.Add(rateTime-rateWindow), begun.Add(rateTime)
			used, read := 0, countBetween(arrivedAt(d.engines[2]), from, until)
			for _, n := range c.runners {
				used += countBetween(arrivedAt(d.engines[n]), from, until)
			}
			t.Logf("%d in %s, %d prompts read apart", used, rateWindow, read)
			require.LessOrEqual(t, float64(used), rateUse*c.rate*rateWindow.Seconds())
			require.GreaterOrEqual(t, float64(used), 0.9*c.rate*rateWindow.Seconds())
			if c.header != nil {
				fetched := 0
				for _, run := range d.engines[3].Runs() {
					if run.Header.Get("X-Kv-Source") != "" && run.At.After(from) && run.At.Before(until) {
						fetched++
					}
				}
				require.LessOrEqual(t, float64(read-fetched), most*float64(read)+1, "%d of %d prompts were read for a run", fetched, read)
			}
		})
	}
}

// TestWhoFollowsKnowsRateLimits has one process of a large fleet hear of a limit: those that have others
// decide know it too, for when these are lost.
func TestWhoFollowsKnowsRateLimits(t *testing.T) {
	d := newDeployment(t)
	d.bound = "3s"
	all := d.largeFleet()
	limited := d.engines[0]
	limited.SetRateLimit("5")
	for n := 0; len(limited.Runs()) == 0; n++ {
		all[0].send("/app/x", fmt.Sprint("first-", n), nil)
	}
	require.Eventually(t, func() bool {
		for _, p := range all {
			var st LimitsStatus
			if p.get(t, "/limits", &st); len(st.Limits) != 1 {
				return false
			}
		}
		return true
	}, rateWindow, 50*time.Millisecond)
}

// TestRateLimitHoldsWhileSchedulersAreLost kills the processes that decide for all others while an instance
// names a rate limit: the others decide alone until some of them take their places, and the two that
// were killed start again and know nothing.
func TestRateLimitHoldsWhileSchedulersAreLost(t *testing.T) {
	const (
		rate    = 5.0
		sendGap = 150 * time.Millisecond
	)
	d := newDeployment(t)
	d.bound = "3s"
	all := d.largeFleet()
	lost := map[string]bool{}
	for _, name := range all[0].state(t).Schedulers {
		lost[name] = true
	}
	var left, killed []*process
	for _, p := range all {
		if lost[p.set.Name] {
			killed = append(killed, p)
		} else {
			left = append(left, p)
		}
	}
	limited := d.engines[0]
	limited.SetRateLimit(strconv.FormatFloat(rate, 'f', -1, 64))
	sendTo(all, "/app/x", nil, sendGap, rateWindow)
	for _, p := range killed {
		go p.kill()
	}
	sendTo(left, "/app/x", nil, sendGap, rateWindow)
	for _, p := range killed {
		ip, _, err := net.SplitHostPort(p.set.Listen)
		require.NoError(t, err)
		left = append(left, d.gatewayAt(p.set.Name, ip))
	}
	begun := time.Now()
	sendTo(left, "/app/x", nil, sendGap, rateTime)
	arrived := arrivedAt(limited)
	most := mostWithin(arrived, arrived[0].Add(ratesHeard), rateWindow)
	used := countBetween(arrived, begun.Add(rateTime-rateWindow), begun.Add(rateTime))
	t.Logf("%d in all, at most %d in %s, the last %s %d", len(arrived), most, rateWindow, rateWindow, used)
	require.LessOrEqual(t, float64(most), rateUse*rate*rateWindow.Seconds())
	require.GreaterOrEqual(t, float64(used), 0.9*rate*rateWindow.Seconds()-1)
}
