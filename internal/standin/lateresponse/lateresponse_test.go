package lateresponse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestResponsesComeWhereTheyShould checks the order in which a client receives responses.
func TestResponsesComeWhereTheyShould(t *testing.T) {
	for name, c := range map[string]struct {
		when When
		// beforeNext is true if the response in excess comes only once the next request is sent.
		beforeNext bool
	}{"at once": {AtOnce, false}, "before next": {BeforeNext, true}, "later": {Later, false}} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				if r.URL.Path == "/first" {
					Send(r, Response{Status: http.StatusServiceUnavailable, NotRun: true}, c.when)
				}
			})}
			Configure(s)
			go func() { _ = s.Serve(Listener(l)) }()
			t.Cleanup(func() { s.Close() })
			conn, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			in := bufio.NewReader(conn)
			status := func() int {
				resp, err := http.ReadResponse(in, nil)
				require.NoError(t, err)
				_, err = io.ReadAll(resp.Body)
				require.NoError(t, err)
				return resp.StatusCode
			}
			send := func(path string) {
				fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", path)
			}
			send("/first")
			require.Equal(t, http.StatusOK, status())
			if c.beforeNext {
				send("/next")
			}
			require.Equal(t, http.StatusServiceUnavailable, status())
			if !c.beforeNext {
				send("/next")
			}
			require.Equal(t, http.StatusOK, status())
		})
	}
}
