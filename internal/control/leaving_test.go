package control

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/mirror"
	"github.com/rockdoor/rockdoor/objstore"
)

// A list of leaving hosts that cannot be decoded must not count as empty, since requests would then
// be sent to leaving hosts again.
func TestInvalidLeavingHostListIsIgnored(t *testing.T) {
	m := mirror.New("state/")
	l := &Loop{o: Options{Mirror: m}, logger: log.NewNopLogger()}
	for n, value := range []string{`["10.0.0.1"]`, `{"odd": 1}`, `7`, `"10.0.0.1"`, `[1]`, ``} {
		m.Apply(mirror.Delta{Revision: objstore.Revision(n + 1), Full: true, Events: []objstore.Event{{
			Object: objstore.Object{Key: LeavingKey, Value: []byte(value), Version: objstore.Version(n + 1)}, Revision: objstore.Revision(n + 1),
		}}})
		l.readState()
		require.True(t, l.leaving["10.0.0.1"], "%q", value)
	}
	m.Apply(mirror.Delta{Revision: 9, Full: true, Events: []objstore.Event{{Object: objstore.Object{Key: LeavingKey, Value: []byte(`[]`), Version: 9}, Revision: 9}}})
	l.readState()
	require.Empty(t, l.leaving)
}
