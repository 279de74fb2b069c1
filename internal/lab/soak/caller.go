package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/standin/fleetcaller"
)

const (
	// clientTimeoutSlack is how much longer than its stated timeout a client waits for a response,
	// so that late responses are observed.
	clientTimeoutSlack = time.Second
	// thinkTime is the default mean time between a response and the client's next request.
	thinkTime = 30 * time.Millisecond
	// reconnectDelay is how long a client waits before it connects again.
	reconnectDelay = 50 * time.Millisecond
	// cancelShare is the share of requests whose clients disconnect before the response, within
	// maxCancelDelay.
	cancelShare    = 0.04
	maxCancelDelay = 300 * time.Millisecond
	// longPromptShare is the share of streams with long prompts, which one engine prefills and
	// another decodes.
	longPromptShare = 0.5
	// maxKeptBody is the part of a response that is kept. Sound responses are shorter.
	maxKeptBody = 64 << 10
	// maxResumptions is how often a client resumes a stream.
	maxResumptions = 3
	// resumeWait is how long a client waits for a gateway at which it can resume a stream.
	resumeWait = 6 * time.Second
	// killedDelay is how long it waits before it resumes a stream once more that no gateway answered.
	killedDelay = 200 * time.Millisecond
	// promptPrefixes is the number of different prefixes of long prompts.
	promptPrefixes = 20
	// shortPromptTokens and longPromptTokens are the tokens in the part that is unique to a prompt.
	// A long prompt begins with systemTokens that all long prompts share and prefixTokens that
	// those with the same prefix share.
	shortPromptTokens = 100
	longPromptTokens  = 2700
	systemTokens      = 2500
	prefixTokens      = 3800
)

// kindShares is the share of each kind of request.
var kindShares = []struct {
	kind  Kind
	share float64
}{{Mark, 0.3}, {Only, 0.1}, {Once, 0.2}, {Repeat, 0.15}, {Stream, 0.15}, {StreamOnce, 0.1}}

const (
	// polledPath is a path that all clients ask for with the same body, in one of polledEvery calls of its kind.
	polledPath  = "/polled"
	polledEvery = 3
)

// client sends requests one after another and reuses its connection while that stays open.
type client struct {
	w                *world
	number           int
	preferredGateway int
	rng              *rand.Rand
	op               *operator

	conn        net.Conn
	reader      *bufio.Reader
	gateway     int
	incarnation int
	connUsed    bool
	// toldToClose is true if a response has announced the end of the connection.
	toldToClose bool
	callCount   int
	// lastCall is the call that was sent last.
	lastCall *Call
	// uploads is true if the client sends its requests slowly.
	uploads bool
}

func newClient(w *world, op *operator, number, preferred int) *client {
	return &client{w: w, op: op, number: number, preferredGateway: preferred, rng: rand.New(rand.NewPCG(w.o.Seed, uint64(number)))}
}

// run sends requests until the context is canceled.
func (c *client) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			time.Sleep(reconnectDelay)
			continue
		}
		c.sendCall(c.nextOwnCall())
		c.repeat(ctx)
		c.resume(ctx, c.lastCall)
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(c.w.o.ThinkTime)))
	}
}

func (c *client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close() // the client no longer uses it
		c.conn = nil
	}
}

// connect opens a connection to the preferred gateway if it is in rotation, otherwise to another
// that is.
func (c *client) connect() bool {
	in := c.w.readyProcesses()
	if slices.Contains(in, c.preferredGateway) {
		in = []int{c.preferredGateway}
	}
	return c.connectTo(in)
}

// connectToAny opens a connection to any gateway that is in rotation.
func (c *client) connectToAny() bool { return c.connectTo(c.w.readyProcesses()) }

// connectTo opens a connection to one of the gateways.
func (c *client) connectTo(in []int) bool {
	if len(in) == 0 {
		return false
	}
	c.gateway = in[c.rng.IntN(len(in))]
	g := c.w.gateways[c.gateway]
	c.incarnation, _ = g.state()
	conn, err := net.DialTimeout("tcp", c.w.clientLink(g).Address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.connUsed, c.toldToClose = conn, bufio.NewReader(conn), false, false
	return true
}

// nextCall generates a request.
func (c *client) nextCall() *Call {
	kind := kindShares[0].kind
	for x, n := c.rng.Float64(), 0; n < len(kindShares); n++ {
		if x -= kindShares[n].share; x < 0 {
			kind = kindShares[n].kind
			break
		}
	}
	if c.w.isReleasing() && c.rng.Float64() < streamShare {
		kind = Stream
	}
	c.callCount++
	id := fmt.Sprintf("s%d-c%d-%d", c.w.o.Seed, c.number, c.callCount)
	call := &Call{ID: id, Kind: kind, Gateway: c.gateway, Incarnation: c.incarnation, Body: "body of " + id, Timeout: callTimeout, ReusedConn: c.connUsed, EndAnnounced: c.toldToClose}
	call.Path = fmt.Sprintf("/%s/%d", kind, c.callCount)
	switch {
	case kind.Streams():
		call.Timeout = streamTimeout
		call.Poisoned = c.w.sendsPoison() && c.rng.Float64() < poisonShare
	case kind == Only:
		newest := c.op.newestIndex()
		call.Path = fmt.Sprintf("%s%d", onlyPath(max(1, newest-c.rng.IntN(2*onlyVersions))), c.callCount)
	case kind == Repeat && c.callCount%polledEvery == 0:
		call.Path, call.Body = "/"+string(Repeat)+polledPath, polledPath
	}
	return call
}

// resume resumes a stream that broke after some of its events, at any gateway and several times if need be.
func (c *client) resume(ctx context.Context, broken *Call) {
	begun, attempt, events := broken.ID, broken.Attempt, receivedEvents(broken.ResponseBody)
	for resumed, until := 0, time.Now().Add(resumeWait); resumed < maxResumptions && time.Now().Before(until); {
		mayResume := broken.Kind == Stream && !broken.Poisoned && !broken.Complete && (broken.CanceledAt.IsZero() || broken.Dropped) && events > 0
		if !mayResume || !c.reconnect(ctx) {
			return
		}
		c.callCount++
		next := *broken
		next.ID = fmt.Sprintf("s%d-c%d-%d", c.w.o.Seed, c.number, c.callCount)
		next.Resumes, next.ResumesAttempt, next.After, next.Gateway, next.Incarnation = begun, attempt, events, c.gateway, c.incarnation
		next.Begun, next.Attempt, next.EndAnnounced, next.Unread = "", 0, false, false
		if next.Dropped {
			next.Subject = "" // the client asks for a part of what it had
		}
		next.CanceledAt, next.Dropped = time.Time{}, false
		next.Status, next.Sealed, next.Complete, next.ResponseBody, next.ReusedConn, next.Unsent, next.Err = 0, false, false, "", false, false, ""
		c.sendCall(&next)
		if next.Status == 0 { // the gateway may have been killed
			time.Sleep(killedDelay)
		} else {
			resumed++
		}
		broken = &next
		events += receivedEvents(next.ResponseBody)
	}
}

// reconnect connects to any gateway. While none is ready it waits, for up to resumeWait.
func (c *client) reconnect(ctx context.Context) bool {
	c.closeConn()
	for until := time.Now().Add(resumeWait); ctx.Err() == nil && time.Now().Before(until); time.Sleep(reconnectDelay) {
		if c.connectOutOfStep() || c.connectToAny() {
			return true
		}
	}
	return false
}

// receivedEvents returns the number of whole events in a response.
func receivedEvents(body string) int { return strings.Count(body, "\n\n") }

// sendCall sends a request and records its outcome.
func (c *client) sendCall(call *Call) {
	c.lastCall = call
	text := c.encode(call)
	stop := func() {}
	call.Dropped = call.Kind == Stream && c.w.isReleasing() && c.rng.Float64() < dropShare
	if call.Dropped {
		stop = c.cancelAfter(call, time.Duration(c.rng.Int64N(int64(maxDropDelay))))
	} else if c.rng.Float64() < cancelShare {
		stop = c.cancelAfter(call, time.Duration(c.rng.Int64N(int64(maxCancelDelay))))
	}
	_ = c.conn.SetDeadline(time.Now().Add(call.Timeout + clientTimeoutSlack)) // on a closed connection the write below fails
	call.Sent, call.Slow = time.Now(), c.uploads
	c.w.observed.record(func() { c.w.observed.Calls = append(c.w.observed.Calls, call) })
	err := c.write(call, text)
	keep := false
	if err == nil {
		keep, err = c.readResponse(call)
	} else {
		c.w.observed.record(func() { call.Unsent = true })
	}
	stop()
	c.w.observed.record(func() {
		call.Ended = time.Now()
		if err != nil {
			call.Err = err.Error()
		}
		call.Unread = err != nil && c.takesForUnread(call)
	})
	c.connUsed = true
	if !keep {
		c.closeConn()
	}
}

// cancelAfter closes the connection after a delay. The returned function stops the timer; if it has
// fired already, it waits until the connection is closed.
func (c *client) cancelAfter(call *Call, after time.Duration) (stop func()) {
	conn := c.conn
	var done sync.WaitGroup
	done.Add(1)
	t := time.AfterFunc(after, func() {
		defer done.Done()
		_ = conn.Close() // the request in flight fails
		c.w.observed.record(func() { call.CanceledAt = time.Now() })
	})
	return func() {
		if !t.Stop() {
			done.Wait()
		}
	}
}

// encode returns the request text of a call.
func (c *client) encode(call *Call) string {
	r := fleetcaller.Request{ID: call.ID, Attempt: attemptText(call.Attempt), Path: call.Path, Body: call.Body, Host: hostName, Key: workspaceKey, Timeout: call.Timeout}
	r.Resumes, r.LastEvent = call.Resumes, call.After
	if call.Kind.Streams() {
		r.Prompt = &fleetcaller.Prompt{Model: modelName, Parts: c.promptParts(call), MaxOutputTokens: streamEvents}
	}
	return r.String()
}

// promptParts generates the parts of a prompt.
func (c *client) promptParts(call *Call) []engine.Part {
	parts := c.soundParts(call)
	if call.Poisoned {
		return withPoison(parts)
	}
	return parts
}

// soundParts generates the parts of a prompt that crash no engine.
func (c *client) soundParts(call *Call) []engine.Part {
	if c.rng.Float64() >= longPromptShare {
		return []engine.Part{{ID: ownPart(call), Tokens: shortPromptTokens}}
	}
	call.Subject = fmt.Sprintf("sub%d", c.rng.IntN(promptPrefixes))
	return []engine.Part{
		{ID: "aa", Tokens: systemTokens},
		{ID: call.Subject, Tokens: prefixTokens},
		{ID: ownPart(call), Tokens: longPromptTokens},
	}
}

// ownPart returns the ID of the prompt part that is unique to a call.
func ownPart(call *Call) string { return "own" + call.ID }

// readResponse reads the response. keep is true if the connection can be reused.
func (c *client) readResponse(call *Call) (keep bool, err error) {
	a, err := fleetcaller.ReadResponse(c.reader)
	c.w.observed.record(func() {
		call.Status, call.Sealed, call.ResponseBody, call.Complete = a.Status, a.Sealed, strings.Clone(a.Body[:min(len(a.Body), maxKeptBody)]), a.Complete
		call.RetryAfter = a.RetryAfter
	})
	c.toldToClose = c.toldToClose || a.ClosesConnection
	return err == nil && (!a.ClosesConnection || c.ignoresClose()), err
}
