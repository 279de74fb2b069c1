package connlimit

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// retryAfter is the Retry-After of requests for which there is no room, which retryJitter extends by a random share.
	retryAfter  = time.Second
	retryJitter = 0.5
)

// refusal is the response to a request that does not reach its handler. The zero refusal stands for none.
type refusal struct {
	status int
	err    error
}

func (r refusal) retryAfter() string {
	if r.status != http.StatusServiceUnavailable {
		return ""
	}
	return strconv.FormatFloat(retryAfter.Seconds()*(1+retryJitter*rand.Float64()), 'f', 3, 64)
}

// write sends the refusal through the HTTP server. The connection is closed after it.
func (r refusal) write(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if after := r.retryAfter(); after != "" {
		w.Header().Set("Retry-After", after)
	}
	http.Error(w, r.err.Error(), r.status)
}

// bytes returns the refusal as it is sent on a connection.
func (r refusal) bytes() []byte {
	body := r.err.Error() + "\n"
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n", r.status, http.StatusText(r.status), len(body))
	if after := r.retryAfter(); after != "" {
		head += "Retry-After: " + after + "\r\n"
	}
	return []byte(head + "\r\n" + body)
}
