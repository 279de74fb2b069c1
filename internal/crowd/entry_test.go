package crowd

import (
	"strings"
	"testing"
)

// TestEntryUnderCrowds has crowds call the listeners of the completion service.
func TestEntryUnderCrowds(t *testing.T) {
	fields := shortFields(entryHeadBytes)
	nothing := func(int) string { return "" }
	unfinished := func(n int) string { return requestHead("GET", "/readyz", n) + fields }
	whole := func(n int) string {
		return requestHead("POST", ordinaryPath, n, "Content-Length: 5") + fields + "\r\n"
	}
	long := strings.Repeat("%41", entryHeadBytes/3)
	refused := func(n int) string { return requestHead("POST", "/none/", n, "Content-Length: 500") + "\r\n" }
	for _, c := range []struct {
		name    string
		n, port int
		client  client
		// logUnread is true if nobody reads the log.
		logUnread bool
	}{
		{"clients, unfinished heads", senders, clientPort, sends(unfinished), false},
		{"clients, whole heads", senders, clientPort, sends(whole), false},
		{"operators, unfinished heads", senders, operatorPort, sends(unfinished), false},
		{"clients, silent", holders, clientPort, sends(nothing), false},
		{"operators, silent", holders, operatorPort, sends(nothing), false},
		{"peers, silent", holders, peerPort, sends(nothing), false},
		{"clients, refused without body", holders, clientPort, sends(refused), false},
		{"clients, unread refusals", holders, clientPort, unread(requestHead("GET", "/none/", 0) + "\r\n"), false},
		{"clients, log unread", senders, clientPort, sends(func(n int) string {
			return requestHead("POST", "/app/"+long, n, "Connection: close", "Content-Length: 1") + "\r\nx"
		}), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startEntry(t, c.logUnread)
			crowd(t, c.n, p.address(c.port), c.client)
			p.check(p.address(c.port))
		})
	}
}
