package gatewayd

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
)

// deepSpec stands for a value that is nested too deep for the stand-in of the store.
const deepSpec = "deep"

var deepText = strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)

// oddEntryStore adds entries of another writer to the registrations of a store, in each page and each answer to a watch
// that has any, and replaces deepSpec.
type oddEntryStore struct {
	*fleetstore.Server
	entry string
	count int
}

func (s *oddEntryStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/objects/servers" {
		s.Server.ServeHTTP(w, r)
		return
	}
	rec := httptest.NewRecorder()
	s.Server.ServeHTTP(rec, r)
	body := rec.Body.Bytes()
	body = bytes.Replace(body, []byte(`"items":[{`), []byte(`"items":[`+strings.Repeat(s.entry+",", s.count)+"{"), 1)
	body = bytes.Replace(body, []byte(`"events":[{`), []byte(`"events":[`+strings.Repeat(`{"object":`+s.entry+`,"deleted":false},`, s.count)+"{"), 1)
	body = bytes.ReplaceAll(body, []byte(`"spec":"`+deepSpec+`"`), []byte(`"spec":`+deepText))
	w.WriteHeader(rec.Code)
	_, _ = w.Write(body) // fails only if the client has disconnected
}

// serveStore has processes that start reach the store through h.
func (d *deployment) serveStore(h http.Handler) {
	server := httptest.NewServer(h)
	d.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	d.address = server.Listener.Addr().String()
}

// TestOddEntryAmongRegistrations starts a gateway beside an odd entry, and registers an instance afterwards.
func TestOddEntryAmongRegistrations(t *testing.T) {
	deep := `{"metadata":{"name":"i-00","revision":1},"spec":` + deepText + `}`
	for name, entry := range map[string]string{
		"none":          `{"metadata":{"name":"i-00","revision":1},"spec":{"service":"app","address":"127.0.0.1:9","phase":"draining"}}`,
		"deep":          deep,
		"many":          deep,
		"huge revision": `{"metadata":{"name":"i-00","revision":1e30},"spec":{}}`,
		"no name":       `{"metadata":{"name":7,"revision":1},"spec":{}}`,
		"bad port":      `{"metadata":{"name":"i-00","revision":1},"spec":{"service":"app","address":"127.0.0.1:99999","phase":"ready"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			count := 1
			if name == "many" {
				count = 50
			}
			d.serveStore(&oddEntryStore{d.store, entry, count})
			started := time.Now()
			p := d.startGateway("g-00")
			require.Less(t, time.Since(started), 8*time.Second)
			d.store.Register("i-9", fleetstore.Registration{Service: "app", Address: "127.0.0.1:9", Slots: 1, Draining: true})
			require.Eventually(t, func() bool { return p.daemon.discovery.View().Instances["i-9"] != nil }, 3*time.Second, 10*time.Millisecond)
			v := p.daemon.discovery.View()
			require.True(t, v.StoreUp)
			require.Equal(t, name == "none", v.Instances["i-00"] != nil, "an entry that no instance wrote")
			rejects := p.fetchStatus(t).Rejects
			require.Equal(t, name != "none", len(rejects) == 1, "%v", rejects)
			require.Equal(t, len(rejects), strings.Count(p.log.String(), "object in the store ignored"))
		})
	}
}

// TestRegistrationThatTurnsOdd replaces the registrations of instances by odd ones and by sound ones again.
func TestRegistrationThatTurnsOdd(t *testing.T) {
	d := newDeployment(t)
	d.serveStore(&oddEntryStore{Server: d.store})
	p := d.startGateway("g-00")
	known := func(id string) func() bool {
		return func() bool { return p.daemon.discovery.View().Instances[id] != nil }
	}
	for range 3 {
		d.store.Register("i-8", fleetstore.Registration{Service: "app", Address: "127.0.0.1:9", Slots: 1, Draining: true})
		d.store.Register("i-9", fleetstore.Registration{Service: "app", Address: "127.0.0.1:9", Slots: 1, Draining: true})
		require.Eventually(t, func() bool { return known("i-8")() && known("i-9")() }, 3*time.Second, 10*time.Millisecond)
		require.Empty(t, p.fetchStatus(t).Rejects)
		d.store.Set("servers", "i-8", deepSpec)
		d.store.Register("i-9", fleetstore.Registration{Service: "app", Address: "127.0.0.1:9", Slots: -5})
		require.Eventually(t, func() bool { return !known("i-8")() && !known("i-9")() }, 3*time.Second, 10*time.Millisecond)
		require.Len(t, p.fetchStatus(t).Rejects, 2)
		require.True(t, p.daemon.discovery.View().StoreUp)
		for _, e := range d.engines {
			require.True(t, known(e.ID)())
		}
	}
}
