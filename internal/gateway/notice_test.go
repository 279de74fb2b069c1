package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// requestsReceived returns how many requests an engine has received, including rejected ones.
func requestsReceived(e *fleetengine.Engine) int {
	return len(e.Runs()) + len(e.Prefills()) + len(e.ShedRequests())
}

func noHeader(int) http.Header { return nil }

// distinctPrompts returns the headers of prompts with different prefixes, so that they are prefilled at
// different engines.
func distinctPrompts(n int) http.Header { return prompt(fmt.Sprintf("%x", 100+n)) }

// TestNothingIsSentAfterAnnouncedShutdown has an instance announce its shutdown in its responses
// while its registration still says that it is serving. The gateway once read only the registration.
// During a store outage of twelve seconds the instance could not update it, and was sent requests all
// that time, although its responses had announced the shutdown. Two seconds after the first of these
// responses the least-work placement still chose the instance, by registrations that were 5.247 s old.
func TestNothingIsSentAfterAnnouncedShutdown(t *testing.T) {
	engines := func(stages ...string) (out []*fleetengine.Engine) {
		for n, stage := range stages {
			out = append(out, fleetengine.New(string(rune('a'+n)), stage))
		}
		return out
	}
	for name, c := range map[string]struct {
		path         string
		header       func(n int) http.Header
		plain, model []*fleetengine.Engine
	}{
		"a request": {pathIdempotent, noHeader, engines("", "", ""), nil},
		"a stream":  {pathModel, noHeader, nil, engines("decode", "decode", "decode")},
		"a prefill": {pathModel, distinctPrompts, nil, engines("prefill", "prefill", "decode")},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, harnessOptions{plain: c.plain, model: c.model})
			leaving := append(c.plain, c.model...)[0]
			leaving.SetShuttingDown()
			for n := 0; requestsReceived(leaving) == 0 && n < 100; n++ {
				r.send(http.MethodPost, c.path, fmt.Sprint("a-", n), fmt.Sprint(n), c.header(n))
			}
			for n := range 30 {
				a := r.send(http.MethodPost, c.path, fmt.Sprint("b-", n), fmt.Sprint(n), c.header(n))
				require.Equal(t, http.StatusOK, a.status, a.body)
			}
			require.Equal(t, 1, requestsReceived(leaving), "the instance received requests after it had announced its shutdown")
		})
	}
}

// requestedBackoff is the backoff that an instance asks for. maxTransitTime is how long after the backoff
// request earlier requests may still arrive.
const (
	requestedBackoff = 1200 * time.Millisecond
	maxTransitTime   = 100 * time.Millisecond
)

// TestNothingIsSentDuringRequestedBackoff has an instance reject requests and ask for a backoff. A
// gateway once sent such an instance three or four more requests within the three seconds that it
// had asked for: the Retry-After was not read, a rejection excluded the instance for that one
// request only, and since it had nothing in flight, the least-work placement preferred it: the next
// request was sent there 0.8 s later.
func TestNothingIsSentDuringRequestedBackoff(t *testing.T) {
	plain := []*fleetengine.Engine{fleetengine.New("a", ""), fleetengine.New("b", "")}
	r := newHarness(t, harnessOptions{plain: plain})
	throttled := plain[0]
	throttled.RetryAfter = requestedBackoff
	throttled.Fail(fleetengine.Shed, -1)
	send := func(id string) { r.send(http.MethodPost, pathIdempotent, id, id, nil) }
	for n := 0; requestsReceived(throttled) == 0 && n < 100; n++ {
		send(fmt.Sprint("a-", n))
	}
	backoffStart := time.Now()
	time.Sleep(maxTransitTime)
	before := requestsReceived(throttled)
	plain[1].ResponseDelay = 20 * time.Millisecond // the instance that asked for a backoff is the less loaded one
	var wg sync.WaitGroup
	for c := range 8 {
		wg.Go(func() {
			for n := 0; time.Since(backoffStart) < requestedBackoff-maxTransitTime; n++ {
				send(fmt.Sprint("b-", c, "-", n))
			}
		})
	}
	wg.Wait()
	require.Equal(t, before, requestsReceived(throttled), "the instance had asked for a backoff")
	throttled.Fail(fleetengine.None, 0)
	require.Eventually(t, func() bool { send(fmt.Sprint("c-", time.Now().UnixNano())); return len(throttled.Runs()) > 0 }, 10*time.Second, 5*time.Millisecond, "the instance gets requests after its backoff")
}

// TestAllInstancesInBackoff has all instances ask for a backoff. A request must be rejected at
// once, with the time until the first backoff ends as Retry-After.
func TestAllInstancesInBackoff(t *testing.T) {
	plain := []*fleetengine.Engine{fleetengine.New("a", ""), fleetengine.New("b", "")}
	r := newHarness(t, harnessOptions{plain: plain})
	for _, e := range plain {
		e.RetryAfter = 30 * time.Second
		e.Fail(fleetengine.Shed, -1)
	}
	for n := range 10 {
		r.send(http.MethodPost, pathIdempotent, fmt.Sprint("a-", n), "x", nil)
	}
	require.Equal(t, 1, requestsReceived(plain[0]))
	require.Equal(t, 1, requestsReceived(plain[1]))
	a := r.send(http.MethodPost, pathIdempotent, "b", "x", nil)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, after, 25.0)
}
