package fleetcaller

import (
	"bufio"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/rawresponse"
)

// TestBrokenHeadsAreNoResponses reads heads that no reader may take for those of answers.
func TestBrokenHeadsAreNoResponses(t *testing.T) {
	for name, head := range rawresponse.BrokenHeads() {
		got, err := ReadResponse(bufio.NewReader(strings.NewReader(head.Status + "\r\n" + head.Fields + "Content-Length: 2\r\n\r\nok")))
		require.Error(t, err, name)
		require.Zero(t, got, name)
	}
	got, err := ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 404 Not Found\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok")))
	require.NoError(t, err)
	require.Equal(t, Response{Status: 404, Body: "ok", Complete: true}, got)
}
