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

// oddEntryStore adds an entry of another writer to the registrations of a store, in each page and each answer to a watch
// that has any.
type oddEntryStore struct {
	*fleetstore.Server
	entry string
}

func (s *oddEntryStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/objects/servers" {
		s.Server.ServeHTTP(w, r)
		return
	}
	rec := httptest.NewRecorder()
	s.Server.ServeHTTP(rec, r)
	body := bytes.Replace(rec.Body.Bytes(), []byte(`"items":[{`), []byte(`"items":[`+s.entry+`,{`), 1)
	body = bytes.Replace(body, []byte(`"events":[{`), []byte(`"events":[{"object":`+s.entry+`,"deleted":false},{`), 1)
	w.WriteHeader(rec.Code)
	_, _ = w.Write(body) // fails only if the client has disconnected
}

// TestOddEntryAmongRegistrations starts a gateway beside an odd entry, and registers an instance afterwards.
func TestOddEntryAmongRegistrations(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, entry := range map[string]string{
		"none":          `{"metadata":{"name":"i-00","revision":1},"spec":{"service":"app","address":"127.0.0.1:9","phase":"draining"}}`,
		"deep":          `{"metadata":{"name":"i-00","revision":1},"spec":` + deep + `}`,
		"huge revision": `{"metadata":{"name":"i-00","revision":1e30},"spec":{}}`,
		"no name":       `{"metadata":{"name":7,"revision":1},"spec":{}}`,
		"bad port":      `{"metadata":{"name":"i-00","revision":1},"spec":{"service":"app","address":"127.0.0.1:99999","phase":"ready"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			server := httptest.NewServer(&oddEntryStore{d.store, entry})
			t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
			d.address = server.Listener.Addr().String()
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
