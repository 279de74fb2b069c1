package responsehead

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func read(t *testing.T, head string) (*http.Response, error) {
	t.Helper()
	return http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\n\r\n")), nil)
}

// TestNameOfAFieldIsAToken puts each byte into the name of a field. Only those of RFC 9110 may pass net/http and the check.
func TestNameOfAFieldIsAToken(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for b := range 256 {
		for _, name := range []string{"X%cA", "%cA", "A%c", "%c", "Content%cLength"} {
			name = strings.Replace(name, "%c", string([]byte{byte(b)}), 1)
			if b == ':' || b == '\n' || strings.HasPrefix(name, " ") || strings.HasPrefix(name, "\t") {
				continue // these end the name or the line, or continue the line before
			}
			resp, err := read(t, "HTTP/1.1 200 OK\r\nX-A: b\r\n"+name+": 2")
			if err == nil {
				err = Check(resp)
			}
			require.Equal(t, strings.IndexByte(token, byte(b)) >= 0, err == nil, "%q: %v", name, err)
		}
	}
	require.ErrorIs(t, CheckNames(http.Header{"": {"b"}}), ErrFieldName)
}

// TestStatusesOfResponses checks which statuses end an exchange or come before its end.
func TestStatusesOfResponses(t *testing.T) {
	for status := range 1000 {
		resp, err := read(t, fmt.Sprintf("HTTP/1.1 %03d X", status))
		require.NoError(t, err)
		want := error(nil)
		if status < 100 || status == 101 || status > 599 {
			want = ErrStatus
		}
		require.ErrorIs(t, Check(resp), want)
	}
	resp, err := read(t, "HTTP/2.0 200 OK")
	require.NoError(t, err)
	require.ErrorIs(t, Check(resp), ErrVersion)
}
