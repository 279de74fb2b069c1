package crowd

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// senders is the size of a crowd that sends much, holders that of one that holds connections, more than a process has
	// descriptors.
	senders = 300
	holders = 700
	// crowdTime is how long a crowd goes on. A client whose connection is closed opens another one.
	crowdTime = 4 * time.Second
	// headBytes is the size of a large head, which is below the largest one that a gateway takes without a configured limit.
	// entryHeadBytes is the same for the completion service.
	headBytes      = 60_000
	entryHeadBytes = 31_000
	reopenDelay    = 5 * time.Millisecond
)

// client is what one client of a crowd does on a connection. It returns when the connection can be of no more use. number
// is different for each connection.
type client func(conn net.Conn, number int)

// crowd has n clients connect to an address. It returns when crowdTime has passed; the connections then stay open until the
// test ends.
func crowd(t *testing.T, n int, address string, c client) {
	t.Helper()
	over := make(chan struct{})
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	ended := false
	track := func(conn net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		open[conn] = true
		return !ended
	}
	var clients sync.WaitGroup
	for k := range n {
		clients.Go(func() {
			for number := k; ; number += n {
				select {
				case <-over:
					return
				case <-time.After(reopenDelay):
				}
				conn, err := dial(address)
				if err != nil {
					continue
				}
				if track(conn) {
					c(conn, number)
				}
				conn.Close()
				mu.Lock()
				delete(open, conn)
				mu.Unlock()
			}
		})
	}
	time.Sleep(crowdTime)
	t.Cleanup(func() {
		close(over)
		mu.Lock()
		ended = true
		for conn := range open {
			conn.Close()
		}
		mu.Unlock()
		clients.Wait()
	})
}

// sends returns a client that sends a text and then waits until the other side closes.
func sends(text func(number int) string) client {
	return func(conn net.Conn, number int) {
		if _, err := io.WriteString(conn, text(number)); err == nil {
			awaitClose(conn)
		}
	}
}

// awaitClose reads until the other side closes.
func awaitClose(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// repeats returns a client that sends a text, and then another one again and again.
func repeats(first, again string) client {
	return func(conn net.Conn, _ int) {
		go awaitClose(conn)
		if _, err := io.WriteString(conn, first); err != nil {
			return
		}
		for again := strings.Repeat(again, 1+4096/len(again)); ; {
			if _, err := io.WriteString(conn, again); err != nil {
				return
			}
		}
	}
}

// unread returns a client that sends a request again and again and reads no response.
func unread(request string) client {
	return func(conn net.Conn, _ int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // a larger one only takes longer to fill
		for {
			if _, err := io.WriteString(conn, request); err != nil {
				return
			}
		}
	}
}

// requestHead returns the head of a request without the empty line at its end.
func requestHead(method, path string, number int, fields ...string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: crowd-%d\r\nRockdoor-Workspace: %s\r\n", method, path, hostName, number, workspaceName)
	for _, f := range fields {
		head += f + "\r\n"
	}
	return head
}

// shortFields returns n bytes of fields with short and different names, which take the most memory for their bytes.
func shortFields(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i%36], letters[i/36%36], letters[i/36/36%36])
	}
	return b.String()
}

// newParts returns the list of parts of a prompt that nobody has sent before.
func newParts(n int) string {
	var b strings.Builder
	for b.Len() < n {
		fmt.Fprintf(&b, "%08x:16,", rand.Uint32())
	}
	return b.String() + "1:1"
}
