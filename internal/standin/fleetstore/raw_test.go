package fleetstore

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEntriesOfOtherWritersAreServedAsTheyAre checks that lists, watches and reads have the text of an entry that JSON encoders
// reject, beside the others.
func TestEntriesOfOtherWritersAreServedAsTheyAre(t *testing.T) {
	s := New()
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	s.Register("sound", Registration{Service: "app"})
	s.SetInstanceText("odd", `{"metadata":{"name":"odd","revision":1e30},"spec":`+deep+`}`)
	server := httptest.NewServer(s)
	defer server.Close()
	for _, path := range []string{"?x", "?watch=0&wait_ms=100", "/odd"} {
		resp, err := http.Get(server.URL + "/objects/" + kindInstances + path)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Contains(t, string(body), `"revision":1e30},"spec":`+deep+"}", path)
		require.Equal(t, path != "/odd", strings.Contains(string(body), "sound"), path)
	}
	s.Deregister("odd")
	require.Empty(t, s.objects[kindInstances]["odd"])
}
