package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/standin/fleetcaller"
)

const (
	// patienceSlack is how much longer than it says a caller waits for an answer, so that one
	// that is late is seen.
	patienceSlack = time.Second
	// thinkTime is the mean time between an answer and the next request.
	thinkTime = 30 * time.Millisecond
	// redialTime is how long a caller waits before it connects again.
	redialTime = 50 * time.Millisecond
	// leaveShare is the share of requests whose callers leave before the answer, within
	// leaveWithin.
	leaveShare  = 0.04
	leaveWithin = 300 * time.Millisecond
	// longShare is the share of streams with long prompts, which one engine reads and another
	// generates.
	longShare = 0.5
	subjects  = 20
	// shortPrompt and longPrompt are the tokens of a prompt's own part. Before that of a long one
	// come systemTokens that all have and subjectTokens that those of one subject have.
	shortPrompt   = 100
	longPrompt    = 2700
	systemTokens  = 2500
	subjectTokens = 3800
)

// mix is the share of each kind of request.
var mix = []struct {
	kind  Kind
	share float64
}{{Mark, 0.3}, {Only, 0.1}, {Once, 0.2}, {Repeat, 0.15}, {Stream, 0.15}, {StreamOnce, 0.1}}

// caller sends one request after the other, on one connection as long as that is open.
type caller struct {
	w      *world
	number int
	home   int
	rng    *rand.Rand
	op     *operator

	conn    net.Conn
	reader  *bufio.Reader
	gateway int
	life    int
	used    bool
	sent    int
}

func newCaller(w *world, op *operator, number, home int) *caller {
	return &caller{w: w, op: op, number: number, home: home, rng: rand.New(rand.NewPCG(w.o.Seed, uint64(number)))}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			time.Sleep(redialTime)
			continue
		}
		c.send(c.next())
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(c.w.o.Think)))
	}
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close() // the caller is done with it
		c.conn = nil
	}
}

// connect opens a connection to the home process, or to another that the balancer has in.
func (c *caller) connect() bool {
	in := c.w.readyProcesses()
	if len(in) == 0 {
		return false
	}
	c.gateway = in[c.rng.IntN(len(in))]
	if slices.Contains(in, c.home) {
		c.gateway = c.home
	}
	g := c.w.gates[c.gateway]
	c.life, _ = g.state()
	conn, err := net.DialTimeout("tcp", c.w.callersLink(g).Address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	return true
}

// next makes up a request.
func (c *caller) next() *Call {
	kind := mix[0].kind
	for x, n := c.rng.Float64(), 0; n < len(mix); n++ {
		if x -= mix[n].share; x < 0 {
			kind = mix[n].kind
			break
		}
	}
	c.sent++
	id := fmt.Sprintf("s%d-c%d-%d", c.w.o.Seed, c.number, c.sent)
	call := &Call{ID: id, Kind: kind, Gateway: c.gateway, Life: c.life, Body: "body of " + id, Wait: callTimeout, Kept: c.used}
	call.Path = fmt.Sprintf("/%s/%d", kind, c.sent)
	switch {
	case kind.Streams():
		call.Wait = streamTimeout
	case kind == Only:
		newest := c.op.newest()
		call.Path = fmt.Sprintf("%s%d", onlyPath(max(1, newest-c.rng.IntN(2*onlyVersions))), c.sent)
	}
	return call
}

// send sends a request and notes what comes of it.
func (c *caller) send(call *Call) {
	text := c.request(call)
	stop := func() {}
	if c.rng.Float64() < leaveShare {
		stop = c.leave(call, time.Duration(c.rng.Int64N(int64(leaveWithin))))
	}
	_ = c.conn.SetDeadline(time.Now().Add(call.Wait + patienceSlack)) // a closed connection fails below
	call.Sent = time.Now()
	c.w.facts.note(func() { c.w.facts.Calls = append(c.w.facts.Calls, call) })
	_, err := io.WriteString(c.conn, text)
	keep := false
	if err == nil {
		keep, err = c.receive(call)
	} else {
		c.w.facts.note(func() { call.Unsent = true })
	}
	stop()
	c.w.facts.note(func() {
		call.Ended = time.Now()
		if err != nil {
			call.Err = err.Error()
		}
	})
	c.used = true
	if !keep {
		c.hangUp()
	}
}

// leave closes the connection after a time. The returned function prevents it, or waits
// until it is done.
func (c *caller) leave(call *Call, after time.Duration) (stop func()) {
	conn := c.conn
	var done sync.WaitGroup
	done.Add(1)
	t := time.AfterFunc(after, func() {
		defer done.Done()
		_ = conn.Close() // the request in hand fails
		c.w.facts.note(func() { call.Left = time.Now() })
	})
	return func() {
		if !t.Stop() {
			done.Wait()
		}
	}
}

// request returns a call as it is sent.
func (c *caller) request(call *Call) string {
	r := fleetcaller.Request{ID: call.ID, Path: call.Path, Body: call.Body, Host: hostName, Key: workspaceKey, Wait: call.Wait}
	if call.Kind.Streams() {
		r.Prompt = &fleetcaller.Prompt{Model: modelName, Parts: c.parts(call), Output: streamEvents}
	}
	return r.String()
}

// parts makes up the parts of a prompt.
func (c *caller) parts(call *Call) []engine.Part {
	if c.rng.Float64() >= longShare {
		return []engine.Part{{ID: ownPart(call), Tokens: shortPrompt}}
	}
	return []engine.Part{
		{ID: "aa", Tokens: systemTokens},
		{ID: fmt.Sprintf("sub%d", c.rng.IntN(subjects)), Tokens: subjectTokens},
		{ID: ownPart(call), Tokens: longPrompt},
	}
}

// ownPart is the part of a prompt that no other request has.
func ownPart(call *Call) string { return "own" + call.ID }

// receive reads the answer. keep is true if the connection can be used again.
func (c *caller) receive(call *Call) (keep bool, err error) {
	a, err := fleetcaller.ReadAnswer(c.reader)
	c.w.facts.note(func() {
		call.Status, call.Sealed, call.Answer, call.Whole = a.Status, a.Sealed, a.Body, a.Whole
	})
	return err == nil && !a.Last, err
}
