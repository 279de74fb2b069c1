package gatewayd

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

const (
	// An instance that limits its rate may receive at most maxRateFactor times that rate within
	// any rateWindow.
	rateWindow    = 4 * time.Second
	maxRateFactor = 1.2
	// limitPropagationTime is how long after the first response with the limit all processes must
	// comply with it.
	limitPropagationTime = 500 * time.Millisecond
	// sendDuration is for how long requests are sent.
	sendDuration = 10 * time.Second
)

// sendFromAll sends requests to a path through all processes, one each interval through each process,
// for a given time.
func sendFromAll(all []*process, path string, header http.Header, interval, during time.Duration) {
	run := time.Now().UnixNano()
	stop := sendContinuously(len(all), func(id string, _ int) {
		var client int
		_, _ = fmt.Sscanf(id, "%d-", &client) // the IDs begin with the number of the client
		all[client].send(path, fmt.Sprint(all[client].settings.Name, "/", run, "/", id), header)
		time.Sleep(interval)
	})
	time.Sleep(during)
	stop()
}

// arrivalTimes returns when requests arrived at an engine, in order.
func arrivalTimes(e *fleetengine.Engine) []time.Time {
	var out []time.Time
	for _, run := range slices.Concat(e.Runs(), e.Prefills(), e.ShedRequests()) {
		out = append(out, run.At)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// maxInWindow returns the largest number of arrivals within any window that starts at the time from or
// later.
func maxInWindow(arrived []time.Time, from time.Time, window time.Duration) (highest int) {
	for n, at := range arrived {
		if at.Before(from) {
			continue
		}
		end, _ := slices.BinarySearchFunc(arrived, at.Add(window), time.Time.Compare)
		highest = max(highest, end-n)
	}
	return highest
}

// countBetween returns the number of arrivals from one time until another.
func countBetween(arrived []time.Time, from, until time.Time) (n int) {
	for _, at := range arrived {
		if !at.Before(from) && at.Before(until) {
			n++
		}
	}
	return n
}

// TestRateLimitHoldsForTheSumOfAllProcesses has an instance limit the requests per second that it
// accepts from all processes together. When each of seven processes ignored the limit, the instance
// received three times as many requests as it allows. Applying the limit at each process is not enough
// either: each process may then send as many requests as all of them together may.
func TestRateLimitHoldsForTheSumOfAllProcesses(t *testing.T) {
	const sendGap = 150 * time.Millisecond
	for _, c := range []struct {
		fleet       string
		rate        float64
		maxArrivals float64
	}{
		{"few", 5, maxRateFactor * 5 * 4},
		{"large", 5, maxRateFactor * 5 * 4},
		{"large", 0.5, 1.5*0.5*4 + 5}, // less than one request for each process and window
	} {
		t.Run(fmt.Sprint(c.fleet, " at ", c.rate), func(t *testing.T) {
			d := newDeployment(t)
			d.applyLimit = "3s"
			all := fleetStarts[c.fleet](d)
			limited := d.engines[0]
			limited.SetRateLimit(strconv.FormatFloat(c.rate, 'f', -1, 64))
			begun := time.Now()
			sendFromAll(all, "/app/x", nil, sendGap, sendDuration)
			var st LimitsStatus
			decider := slices.IndexFunc(all, func(p *process) bool { return p.fetchStatus(t).Scheduling })
			all[decider].get(t, "/limits", &st)
			require.Len(t, st.Limits, 1)
			require.Equal(t, limited.ID, st.Limits[0].Instance)
			require.Equal(t, c.rate, st.Limits[0].PerSecond)
			arrived := arrivalTimes(limited)
			require.NotEmpty(t, arrived)
			highest := maxInWindow(arrived, arrived[0].Add(limitPropagationTime), rateWindow)
			used := countBetween(arrived, begun.Add(sendDuration-rateWindow), begun.Add(sendDuration))
			t.Logf("%d in all, at most %d in %s, the last %s %d", len(arrived), highest, rateWindow, rateWindow, used)
			require.LessOrEqual(t, float64(highest), c.maxArrivals, "in %s, of a limit of %v a second", rateWindow, c.rate)
			require.GreaterOrEqual(t, float64(used), 0.9*c.rate*rateWindow.Seconds()-1, "the rate that the instance accepts is used")
		})
	}
}

// TestRateLimitsOfAllInstancesAreUsedFully has all instances of a service limit their rates while the
// demand is higher. It guards against two losses, which cost 0.25 of the goodput of a day: requests
// refused at processes that had no grant at the moment, while unused grants expired at other
// processes; and prompts that were prefilled although no decode engine accepted the request.
func TestRateLimitsOfAllInstancesAreUsedFully(t *testing.T) {
	const (
		rate           = 20.0
		clients        = 5 // of each process
		sendGap        = 120 * time.Millisecond
		maxWastedShare = 0.1 // of the prefilled prompts
	)
	for name, c := range map[string]struct {
		path          string
		header        http.Header
		limits        []string // of the engines, in order
		decodeEngines []int
		rate          float64
	}{
		"runs":  {"/app/x", nil, []string{"20", "20"}, []int{0, 1}, 2 * rate},
		"reads": {"/llm/x", longPrompt, []string{"", "", "12", "20"}, []int{3}, rate},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.applyLimit = "3s"
			all := fleetStarts["few"](d)
			for n, limit := range c.limits {
				d.engines[n].SetRateLimit(limit)
			}
			var senders []*process
			for range clients {
				senders = append(senders, all...)
			}
			begun := time.Now()
			sendFromAll(senders, c.path, c.header, sendGap, sendDuration)
			from, until := begun.Add(sendDuration-rateWindow), begun.Add(sendDuration)
			used, prefilled := 0, countBetween(arrivalTimes(d.engines[2]), from, until)
			for _, n := range c.decodeEngines {
				used += countBetween(arrivalTimes(d.engines[n]), from, until)
			}
			t.Logf("%d runs in %s, %d prompts prefilled on a separate engine", used, rateWindow, prefilled)
			require.LessOrEqual(t, float64(used), maxRateFactor*c.rate*rateWindow.Seconds())
			require.GreaterOrEqual(t, float64(used), 0.9*c.rate*rateWindow.Seconds())
			if c.header != nil {
				fetched := 0
				for _, run := range d.engines[3].Runs() {
					if run.Header.Get("X-Kv-Source") != "" && run.At.After(from) && run.At.Before(until) {
						fetched++
					}
				}
				require.LessOrEqual(t, float64(prefilled-fetched), maxWastedShare*float64(prefilled)+1, "%d of %d prefilled prompts were used by a run", fetched, prefilled)
			}
		})
	}
}

// TestFollowersLearnRateLimits lets one process of a large fleet receive a rate limit. All others must
// learn it, also those that leave decisions to the schedulers, since they decide themselves when
// the schedulers are lost.
func TestFollowersLearnRateLimits(t *testing.T) {
	d := newDeployment(t)
	d.applyLimit = "3s"
	all := d.startLargeFleet()
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

// TestRateLimitHoldsWhileSchedulersAreLost shuts down all schedulers while an instance limits its rate.
// The other processes decide alone until some of them become schedulers, and the stopped processes
// start again without any state.
func TestRateLimitHoldsWhileSchedulersAreLost(t *testing.T) {
	d := newDeployment(t)
	d.testRateLimitWithoutSchedulers(func(p *process) { go p.shutDown() }, func(p *process) *process {
		ip, _, err := net.SplitHostPort(p.settings.Listen)
		require.NoError(t, err)
		return d.startGatewayAt(p.settings.Name, ip)
	})
}

// TestRateLimitHoldsWhileSchedulersAreKilled kills the schedulers instead. Their processes start again
// under the same names at other addresses.
func TestRateLimitHoldsWhileSchedulersAreKilled(t *testing.T) {
	d := newDeployment(t)
	links := d.isolateStoreLinks()
	d.testRateLimitWithoutSchedulers(func(p *process) { p.kill(links[p.settings.Name]) }, func(p *process) *process {
		d.isolateStoreLink(p.settings.Name)
		return d.startGateway(p.settings.Name)
	})
}

// testRateLimitWithoutSchedulers ends all schedulers with end and starts them again with restart.
func (d *deployment) testRateLimitWithoutSchedulers(end func(*process), restart func(*process) *process) {
	const (
		rate    = 5.0
		sendGap = 150 * time.Millisecond
	)
	t := d.t
	d.applyLimit = "3s"
	all := d.startLargeFleet()
	stopped, running := schedulersOf(t, all)
	limited := d.engines[0]
	limited.SetRateLimit(strconv.FormatFloat(rate, 'f', -1, 64))
	sendFromAll(all, "/app/x", nil, sendGap, rateWindow)
	for _, p := range stopped {
		end(p)
	}
	sendFromAll(running, "/app/x", nil, sendGap, rateWindow)
	for _, p := range stopped {
		running = append(running, restart(p))
	}
	longestDelay := measureSchedulingDelay(t)
	begun := time.Now()
	sendFromAll(running, "/app/x", nil, sendGap, sendDuration)
	arrived := arrivalTimes(limited)
	highest := maxInWindow(arrived, arrived[0].Add(limitPropagationTime), rateWindow)
	used := countBetween(arrived, begun.Add(sendDuration-rateWindow), begun.Add(sendDuration))
	schedulingDelay := longestDelay()
	t.Logf("%d in all, at most %d in %s, the last %s %d; %d changes of coordinators seen in it; not scheduled for %s at a time", len(arrived), highest, rateWindow, rateWindow, used,
		coordinatorChanges(running, begun.Add(sendDuration-rateWindow)), schedulingDelay)
	t.Cleanup(func() {
		if t.Failed() {
			logGranting(t, running, arrived, begun)
		}
	})
	require.LessOrEqual(t, float64(highest), maxRateFactor*rate*rateWindow.Seconds())
	require.GreaterOrEqual(t, float64(used), 0.9*rate*rateWindow.Seconds()-1)
}

// coordinatorChanges returns how often processes saw another coordinator of rate limits since a time.
func coordinatorChanges(all []*process, since time.Time) (n int) {
	for _, p := range all {
		for line := range strings.Lines(p.log.String()) {
			_, stamp, _ := strings.Cut(line, "ts=")
			at, err := time.Parse(time.RFC3339Nano, strings.TrimSpace(strings.Split(stamp, " ")[0]))
			if err == nil && at.After(since) && strings.Contains(line, "coordinator of rate limits") {
				n++
			}
		}
	}
	return n
}

// logGranting logs how many requests arrived in each half second from begun on, and what the processes logged about the
// schedulers and the rate limits.
func logGranting(t *testing.T, all []*process, arrived []time.Time, begun time.Time) {
	const step = 500 * time.Millisecond
	for from := begun; from.Before(begun.Add(sendDuration)); from = from.Add(step) {
		t.Logf("%s: %d arrived", from.Sub(begun), countBetween(arrived, from, from.Add(step)))
	}
	logLines(t, all, "component=ratelimit", "msg=schedulers", "msg=mode", "peer silent", "contact with peer", "does not respond")
}
