package settings

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/entry-1.json")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, f := range files {
		s, err := Load(f)
		require.NoError(t, err)
		require.Equal(t, 750*time.Millisecond, s.Control.Heartbeat.Std())
		require.EqualValues(t, 8<<20, s.Limits.BodyBytes)
		require.True(t, s.Log.Decisions)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name": "a", "host": "h", "domain": "d", "listen": "127.0.0.1:1", "admin": "127.0.0.1:2", "peer": "127.0.0.1:3", "platform": "http://127.0.0.1:4"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := Parse("f", text); err == nil && (s.Name == "" || s.Limits.Requests < 1) {
			t.Fatal("accepted without its required fields or defaults")
		}
	})
}
