package rawresponse

import (
	"io"
	"net"
	"net/http"
	"time"
)

// End is how a server ends the connection of a response.
type End int

// Ends of a connection.
const (
	// Reset resets the connection.
	Reset End = iota
	// CloseUnread closes it while bytes of the request are unread, for which the kernel resets it.
	CloseUnread
	// Finish closes the sending side and reads the rest of the request.
	Finish
	// FinishAndReset closes the sending side and resets the connection later.
	FinishAndReset
)

// finishedTime is the time between the end of the sending side and the reset of FinishAndReset.
const finishedTime = 20 * time.Millisecond

// Early is a handler that sends its response before it reads the body of the request.
type Early struct {
	// Response returns the bytes of the response.
	Response func(*http.Request) string
	End      End
	// Delay is the time between the last byte of the response and the end of the connection.
	Delay time.Duration
}

// ServeHTTP implements http.Handler.
func (e Early) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hijacked, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer hijacked.Close()
	conn, ok := hijacked.(*net.TCPConn)
	if !ok {
		return
	}
	_, _ = io.WriteString(conn, e.Response(r)) // an error means that the client has closed the connection, here and below
	time.Sleep(e.Delay)
	switch e.End {
	case CloseUnread:
		_, _ = io.ReadFull(conn, make([]byte, 1)) // a part of the body has arrived, so that more of it follows
		time.Sleep(time.Millisecond)
	case Finish:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	case FinishAndReset:
		_ = conn.CloseWrite()
		time.Sleep(finishedTime)
		_ = conn.SetLinger(0)
	case Reset:
		_ = conn.SetLinger(0)
	}
}
