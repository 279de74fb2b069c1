package crowd

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// listeners are those of a gateway that speak HTTP.
var listeners = map[string]int{"clients": clientPort, "readiness": readinessPort, "operators": operatorPort}

// run has a crowd call a port of a new gateway and checks what has to hold.
func run(t *testing.T, n, port int, c client) {
	t.Helper()
	p := startGateway(t, false)
	crowd(t, n, p.address(port), c)
	p.check(p.address(port))
}

// TestMemoryOfHeads has clients send as many fields as a head can have, at each listener.
func TestMemoryOfHeads(t *testing.T) {
	fields := shortFields(headBytes)
	unfinished := func(n int) string { return requestHead("GET", "/readyz", n) + fields }
	for name, port := range listeners {
		t.Run(name+" unfinished", func(t *testing.T) { run(t, senders, port, sends(unfinished)) })
	}
	t.Run("clients whole", func(t *testing.T) {
		run(t, senders, clientPort, sends(func(n int) string {
			return requestHead("POST", ordinaryPath, n, "Content-Length: 5") + fields + "\r\n"
		}))
	})
	t.Run("operators whole", func(t *testing.T) {
		run(t, senders, operatorPort, sends(func(n int) string {
			return requestHead("POST", "/status", n, "Content-Length: 5") + fields + "\r\n"
		}))
	})
	t.Run("clients served", func(t *testing.T) {
		run(t, senders, clientPort, sends(func(n int) string { return requestHead("GET", ordinaryPath, n) + fields + "\r\n" }))
	})
}

// TestMemoryOfOddHeads has clients send heads that are no proper ones.
func TestMemoryOfOddHeads(t *testing.T) {
	start := requestHead("POST", ordinaryPath, 0)
	for name, c := range map[string]client{
		"fields without end":             repeats(start, "a-field: of some bytes\r\n"),
		"line without end":               repeats(start+"a: ", "aaaaaaaa"),
		"request line without end":       repeats("GET /", "aaaaaaaa"),
		"garbage":                        repeats("\x00\x01\xfe\xff", "\x80\x81\x82\x83"),
		"empty lines":                    repeats("", "\r\n"),
		"empty lines after a request":    repeats(start+"Content-Length: 1\r\n\r\nx", "\r\n"),
		"bare line feeds":                repeats("POST /app/x HTTP/1.1\nHost: h\n", "a: b\n"),
		"folded lines":                   repeats(start+"a: b\r\n", " folded\r\n"),
		"zero bytes":                     repeats(start, "\x00\x00\x00\x00"),
		"chunks with long extensions":    repeats(start+"Transfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("e", 3000)+"\r\nx\r\n"),
		"trailers without end":           repeats(start+"Transfer-Encoding: chunked\r\nTrailer: a\r\n\r\n0\r\n", "a: b\r\n"),
		"bodies without end":             repeats(start+"Transfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1024)+"\r\n"),
		"pipelined requests":             repeats("", start+"Content-Length: 1\r\n\r\nx"),
		"heads of two lengths":           repeats("", start+"Content-Length: 1\r\nContent-Length: 2\r\n\r\nx"),
		"an upgrade":                     repeats(start+"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n", "x"),
		"preface of another protocol":    repeats("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "x"),
		"a byte at a time, then nothing": func(conn net.Conn, _ int) { dribble(conn, start) },
	} {
		t.Run(name, func(t *testing.T) { run(t, senders, clientPort, c) })
	}
}

// dribble sends a text in single bytes.
func dribble(conn net.Conn, text string) {
	for i := range len(text) {
		if _, err := io.WriteString(conn, text[i:i+1]); err != nil {
			return
		}
	}
	awaitClose(conn)
}

// TestDescriptorsOfHeldConnections has clients hold more connections than the process has descriptors, at each listener.
func TestDescriptorsOfHeldConnections(t *testing.T) {
	whole := func(n int) string { return requestHead("GET", "/readyz", n) + "\r\n" }
	for name, port := range listeners {
		for kind, text := range map[string]func(int) string{
			"silent": func(int) string { return "" },
			"half":   func(n int) string { return requestHead("GET", "/readyz", n) },
			"idle":   whole,
			"held":   func(n int) string { return requestHead("POST", ordinaryPath, n, "Content-Length: 5") + "\r\n" },
		} {
			t.Run(name+" "+kind, func(t *testing.T) { run(t, holders, port, sends(text)) })
		}
	}
	t.Run("peers silent", func(t *testing.T) { run(t, holders, peerPort, sends(func(int) string { return "" })) })
}

// TestDescriptorsOfRefusedRequests has clients hold connections on which they send no body for a request that is refused
// without one, or read no response.
func TestDescriptorsOfRefusedRequests(t *testing.T) {
	for name, c := range map[string]client{
		"no route, body missing":   sends(func(n int) string { return requestHead("POST", "/none/", n, "Content-Length: 500") + "\r\n" }),
		"no route, chunks missing": sends(func(n int) string { return requestHead("POST", "/none/", n, "Transfer-Encoding: chunked") + "\r\n" }),
		"no route, expects 100": sends(func(n int) string {
			return requestHead("POST", "/none/", n, "Content-Length: 500", "Expect: 100-continue") + "\r\n"
		}),
		"bad deadline, body missing": sends(func(n int) string {
			return requestHead("POST", ordinaryPath, n, "X-Deadline-Ms: x", "Content-Length: 500") + "\r\n"
		}),
		"refusals that nobody reads":  unread(requestHead("GET", "/none/", 0) + "\r\n"),
		"responses that nobody reads": unread(requestHead("GET", ordinaryPath, 0) + "\r\n"),
	} {
		t.Run(name, func(t *testing.T) { run(t, holders, clientPort, c) })
	}
}

// TestMemoryOfTheLog has clients send what is logged: long paths, hosts and request IDs. The log may be read or not.
func TestMemoryOfTheLog(t *testing.T) {
	long := strings.Repeat("%41", headBytes/3)
	paths := sends(func(n int) string { return requestHead("GET", "/"+long, n, "Connection: close") + "\r\n" })
	ids := sends(func(n int) string {
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nX-Request-Id: %d%s\r\n\r\n", ordinaryPath, hostName, n, strings.Repeat("a", headBytes))
	})
	for name, c := range map[string]client{"paths": paths, "IDs": ids} {
		for reader, isUnread := range map[string]bool{"read": false, "unread": true} {
			t.Run(name+" "+reader, func(t *testing.T) {
				p := startGateway(t, isUnread)
				crowd(t, senders*2/3, p.address(clientPort), c)
				p.check(p.address(clientPort))
			})
		}
	}
}

// TestMemoryOfPrompts has clients send prompts that consist of thousands of parts that no engine knows.
func TestMemoryOfPrompts(t *testing.T) {
	for name, path := range map[string]string{"streams": "/llm/x", "plain": ordinaryPath} {
		t.Run(name, func(t *testing.T) {
			run(t, senders*2/3, clientPort, sends(func(n int) string {
				return requestHead("POST", path, n, "Connection: close", "Content-Length: 1", "X-Model: m", "X-Token-Count: 9000,2", "X-Prompt-Prefix: "+newParts(headBytes*5/6)) + "\r\nx"
			}))
		})
	}
}

// TestMemoryOfPeerConnections has clients send what is no message of a peer to the port for peers.
func TestMemoryOfPeerConnections(t *testing.T) {
	frame := func(kind byte, flags uint16, stream, length uint32) string {
		b := []byte{0, kind, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}
		binary.BigEndian.PutUint16(b[2:], flags)
		binary.BigEndian.PutUint32(b[4:], stream)
		binary.BigEndian.PutUint32(b[8:], length)
		return string(b)
	}
	const data, window, open = 0, 1, 1
	require.Len(t, frame(data, open, 1, 0), 12)
	manyStreams := func(n int) string {
		var b strings.Builder
		for s := range uint32(200) {
			b.WriteString(frame(window, open, 2*s+1, 0))
		}
		return b.String()
	}
	// A message states 4 MB, of which nothing but the length arrives.
	hugeMessage := frame(data, open, 1, 4) + "\x80\x80\x80\x02"
	for name, c := range map[string]client{
		"garbage":       repeats("garbage", "\x80\x81\x82\x83"),
		"streams":       sends(manyStreams),
		"huge messages": sends(func(int) string { return hugeMessage }),
		"requests":      sends(func(n int) string { return requestHead("GET", "/", n) + "\r\n" }),
	} {
		t.Run(name, func(t *testing.T) { run(t, senders, peerPort, c) })
	}
}
