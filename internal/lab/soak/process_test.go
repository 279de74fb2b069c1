package soak

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFilesAreReplacedConcurrently replaces the clock file of a process from overlapping faults.
func TestFilesAreReplacedConcurrently(t *testing.T) {
	const writers = 200
	name := filepath.Join(t.TempDir(), "clock")
	errs := make(chan error, writers)
	for range writers {
		go func() { errs <- replaceFile(name, "1s") }()
	}
	for range writers {
		require.NoError(t, <-errs)
	}
	text, err := os.ReadFile(name)
	require.NoError(t, err)
	require.Equal(t, "1s", string(text))
}
