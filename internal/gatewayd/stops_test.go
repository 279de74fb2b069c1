package gatewayd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetcaller"
)

// keptConn is a client's connection to one gateway after the other. It is used on although a response announces its end.
type keptConn struct {
	all    []*process
	next   int
	conn   net.Conn
	reader *bufio.Reader
	used   bool
}

// send sends a request. Unanswered is true if the connection had carried others and was closed without a response.
func (c *keptConn) send(r fleetcaller.Request) (status int, unanswered bool) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.all[c.next%len(c.all)].settings.Listen)
		if err != nil {
			c.next++
			return 0, false
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	}
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second)) // on a closed connection the write fails
	_, err := io.WriteString(c.conn, r.String())
	var resp fleetcaller.Response
	if err == nil {
		resp, err = fleetcaller.ReadResponse(c.reader)
	}
	used := c.used
	c.used = true
	if err != nil {
		_ = c.conn.Close()
		c.conn = nil
		c.next++
	}
	return resp.Status, err != nil && used && resp.Status == 0
}

// TestOverlappingStopsRunNothingUnanswered stops three of four gateways one soon after the other, while clients go on using their
// connections until these are closed, and then send the request again at the next gateway. No request runs whose connection was
// closed without a response, and none runs twice.
func TestOverlappingStopsRunNothingUnanswered(t *testing.T) {
	const (
		clients = 32
		stopGap = 150 * time.Millisecond
	)
	d := newDeployment(t)
	for _, e := range d.engines[:2] {
		e.ResponseDelay = 5 * time.Millisecond
	}
	all := []*process{d.startGateway("a"), d.startGateway("b"), d.startGateway("c"), d.startGateway("d")}
	stopped := make(chan struct{})
	var mu sync.Mutex
	var wg sync.WaitGroup
	unanswered := map[string]bool{}
	sent := 0
	for n := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &keptConn{all: all, next: n}
			for k := 0; ; k++ {
				select {
				case <-stopped:
					return
				default:
				}
				id := fmt.Sprintf("c%d-%d", n, k)
				for attempt := range 6 {
					mark := fmt.Sprint(id, "#", attempt)
					status, closed := c.send(fleetcaller.Request{ID: id, Attempt: mark, Path: "/app/x", Body: "x", Host: "h", Timeout: 3 * time.Second})
					mu.Lock()
					sent++
					if closed {
						unanswered[mark] = true
					}
					mu.Unlock()
					if !closed && status != http.StatusServiceUnavailable && status != 0 {
						break
					}
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	for _, p := range all[:3] {
		p.stop()
		time.Sleep(stopGap)
	}
	for _, p := range all[:3] {
		err := <-p.done
		p.done <- err
	}
	time.Sleep(200 * time.Millisecond)
	close(stopped)
	wg.Wait()
	ran := map[string]int{}
	for _, e := range d.engines[:2] {
		for _, run := range e.Runs() {
			ran[run.ID]++
			require.False(t, unanswered[run.Header.Get("Client-Attempt")], "%s ran although its connection was closed without a response", run.ID)
		}
	}
	for id, n := range ran {
		require.Equal(t, 1, n, id)
	}
	t.Logf("%d requests sent, %d of them closed unanswered, %d ran", sent, len(unanswered), len(ran))
	require.NotEmpty(t, unanswered)
}
