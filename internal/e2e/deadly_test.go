package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A client keeps sending, to all processes in turn, a request that crashes every server that runs
// it. The processes must share their observations and quarantine the request. If failures counted
// only against the servers, and were known only to the process that observed them, the request
// would be forwarded every time.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	const (
		sendInterval    = 100 * time.Millisecond
		propagationTime = 3 * time.Second
		maxSendsAfter   = 3
		laterAttempts   = 40
	)
	f := startFleet(t, options{entries: 3, engines: 2, poisonBody: "deadly"})
	attempts := 0
	send := func() {
		f.call(attempts%3, http.MethodPost, "/alerts/x", f.o.poisonBody)
		attempts++
		time.Sleep(sendInterval)
	}
	crashes := func() (n int) {
		for _, h := range f.crashHosts {
			n += h.Crashes()
		}
		return n
	}
	f.await("three crashed servers", func() bool { send(); return crashes() >= 3 })
	for end := time.Now().Add(propagationTime); time.Now().Before(end); {
		send()
	}
	before := f.poisonSends.Load()
	for range laterAttempts {
		send()
	}
	t.Logf("%d server crashes, %d sends, %d of them after the quarantine had spread", crashes(), f.poisonSends.Load(), f.poisonSends.Load()-before)
	require.LessOrEqual(t, f.poisonSends.Load()-before, int64(maxSendsAfter))
	f.await("another request to be served", func() bool { return f.call(0, http.MethodPost, "/alerts/x", "other").status == http.StatusOK })
}
