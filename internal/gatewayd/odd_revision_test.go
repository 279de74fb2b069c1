package gatewayd

import (
	"net/http"
	"net/http/httptest"
	"regexp"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
)

// TestInstanceWhoseRevisionWasFarIsFollowed has the store state a revision far beyond its own for an instance, for a while. Afterwards it
// registers anew, and is removed.
func TestInstanceWhoseRevisionWasFarIsFollowed(t *testing.T) {
	d := newDeployment(t)
	var far atomic.Bool
	revision := regexp.MustCompile(`("name":"i-9"[^{}]*"revision":)\d+|("revision":)\d+([^{}]*"name":"i-9")`)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		d.store.ServeHTTP(rec, r)
		body := rec.Body.Bytes()
		if far.Load() && r.URL.Path == "/objects/servers" {
			body = revision.ReplaceAll(body, []byte(`${1}${2}1099511627776${3}`))
		}
		w.WriteHeader(rec.Code)
		_, _ = w.Write(body)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	d.address = server.Listener.Addr().String()
	p := d.startGateway("g-00")
	addressIs := func(want string) func() bool {
		return func() bool {
			i := p.daemon.discovery.View().Instances["i-9"]
			return i == nil && want == "" || i != nil && i.Address == want
		}
	}
	register := func(address string) {
		d.store.Register("i-9", fleetstore.Registration{Service: "app", Address: address, Slots: 1, Draining: true})
	}
	register("127.0.0.1:9")
	require.Eventually(t, addressIs("127.0.0.1:9"), 5*time.Second, 10*time.Millisecond)
	far.Store(true)
	register("127.0.0.1:10")
	require.Eventually(t, addressIs(""), 5*time.Second, 10*time.Millisecond, "the registration cannot be decoded")
	far.Store(false)
	register("127.0.0.1:11")
	require.Eventually(t, addressIs("127.0.0.1:11"), 5*time.Second, 10*time.Millisecond)
	d.store.Remove("servers", "i-9")
	require.Eventually(t, addressIs(""), 5*time.Second, 10*time.Millisecond)
}
