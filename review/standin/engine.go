package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// service is the name of the engines' service.
	service = "wuno96b"
	// slots are those of the application servers of the small sites. A few more requests wait.
	slots = 6
	queue = 2
)

// engine is an application server. It reads and writes the protocol itself, so that nothing is changed on
// the way to the record.
type engine struct {
	id string
	w  *world
	// work is the mean time that a request takes.
	work time.Duration
	// echoOnRejection has rejections carry the ID of the request, too.
	echoOnRejection bool

	mu sync.Mutex
	// doubled is the share of answers that are sent a second time, in the place where the next answer on the
	// connection is due.
	doubled  float64
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	// reads is the number of running requests without a body.
	reads    int
	arrivals []arrival
	repeats  int
}

// arrival is a client's request as an engine received it.
type arrival struct {
	id, method, target string
	ran                bool
}

// call is a request as it was read from a connection.
type call struct {
	method, target string
	header         textproto.MIMEHeader
	body           []byte
}

func (w *world) startEngine(id string) (*engine, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return w.startEngineAt(id, address)
}

func (w *world) startEngineAt(id, address string) (*engine, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, w: w, work: 15 * time.Millisecond, listener: l, conns: map[net.Conn]bool{}}
	w.mu.Lock()
	w.engines = append(w.engines, e)
	w.mu.Unlock()
	w.store.Set("servers", id, map[string]any{
		"service": service, "address": l.Addr().String(), "zone": domain, "version": "v1", "slots": slots, "phase": "ready", "cold_remaining_ms": 0, "sequence": 1,
	})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

func (e *engine) serve(conn net.Conn) {
	e.track(conn, true)
	defer e.track(conn, false)
	in := bufio.NewReader(conn)
	late := "" // an answer in excess that is still to be sent
	for {
		c, err := readCall(in)
		if err != nil {
			return
		}
		if late != "" {
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			e.countRepeat()
		}
		answer := e.answer(c)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		late = ""
		if e.doubles() {
			late = answer
		}
	}
}

// track records an open connection, or closes it.
func (e *engine) track(conn net.Conn, open bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if open {
		e.conns[conn] = true
		return
	}
	delete(e.conns, conn)
	_ = conn.Close()
}

func readCall(in *bufio.Reader) (*call, error) {
	text := textproto.NewReader(in)
	line, err := text.ReadLine()
	if err != nil {
		return nil, err
	}
	fields := strings.Split(line, " ")
	if len(fields) != 3 {
		return nil, fmt.Errorf("request line %q", line)
	}
	c := &call{method: fields[0], target: fields[1]}
	if c.header, err = text.ReadMIMEHeader(); err != nil {
		return nil, err
	}
	if strings.EqualFold(c.header.Get("Transfer-Encoding"), "chunked") {
		c.body, err = io.ReadAll(httputil.NewChunkedReader(in))
		if err == nil {
			_, err = text.ReadLine()
		}
		return c, err
	}
	length, _ := strconv.Atoi(c.header.Get("Content-Length"))
	c.body = make([]byte, length)
	_, err = io.ReadFull(in, c.body)
	return c, err
}

func (e *engine) setDoubled(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.doubled = share
}

// doubles reports whether the next answer is sent twice.
func (e *engine) doubles() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return rand.Float64() < e.doubled
}

func (e *engine) countRepeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.repeats++
}

// repeated returns how many answers were sent twice.
func (e *engine) repeated() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.repeats
}

// answer runs a request or rejects it, and returns the answer.
func (e *engine) answer(c *call) string {
	id := c.header.Get("X-Request-Id")
	switch {
	case id == "" && c.target == "/healthz":
		return response(http.StatusOK, "ok", "X-Instance-Id", e.id)
	case id == "":
		return response(http.StatusBadRequest, "", "X-Not-Executed", "1")
	case c.header.Get("X-Expect-Instance") != "" && c.header.Get("X-Expect-Instance") != e.id:
		return response(http.StatusMisdirectedRequest, "", "X-Instance-Id", e.id)
	}
	isRead := len(c.body) == 0
	ran := e.begin(arrival{id: id, method: c.method, target: c.target}, isRead)
	if !ran {
		e.w.note("engine %s rejects %s", e.id, id)
		if e.echoOnRejection {
			return response(http.StatusServiceUnavailable, "", "X-Not-Executed", "1", "X-Request-Id", id)
		}
		return response(http.StatusServiceUnavailable, "", "X-Not-Executed", "1")
	}
	e.w.note("engine %s runs %s: %s %s", e.id, id, c.method, c.target)
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(e.work)))
	e.end(isRead)
	return response(http.StatusOK, "answer to "+id+strings.Repeat(".", 700), "X-Request-Id", id, "X-Response-Seal", "3e1b.07.5a2.600.0."+e.id)
}

// begin records an arrival and takes a place for it. It returns false if the engine is full.
func (e *engine) begin(a arrival, isRead bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.ran = e.running < slots+queue
	if a.ran {
		e.running++
	}
	if a.ran && isRead {
		e.reads++
	}
	e.arrivals = append(e.arrivals, a)
	return a.ran
}

// end frees the place of a request.
func (e *engine) end(isRead bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if isRead {
		e.reads--
	}
}

// hasRead reports whether the engine runs a request without a body.
func (e *engine) hasRead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reads > 0
}

func (e *engine) snapshot() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

func response(status int, body string, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}
