package soak

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// maxUploadTime is the longest time after which a slow upload becomes whole. It leaves time for the run, and for the first
	// event of a stream.
	maxUploadTime = 1200 * time.Millisecond
	// uploadedLast is the number of bytes at the end of a request for which the process waits.
	uploadedLast = 5
)

// startUploaders starts a client for each process that sends its requests slowly, so that some become whole at a random moment
// of a planned stop.
func (w *world) startUploaders(ctx context.Context, op *operator, all *sync.WaitGroup) {
	for n := range w.o.Processes {
		all.Go(func() {
			c := newClient(w, op, w.o.ClientsPerProcess*w.o.Processes+n, n)
			c.uploads = true
			c.run(ctx)
		})
	}
}

// nextOwnCall generates a request of a kind that the client sends. The kinds that show the configuration in force are sent at
// once, because it may change during an upload.
func (c *client) nextOwnCall() *Call {
	call := c.nextCall()
	for c.uploads && (call.Kind == Mark || call.Kind == Only) {
		call = c.nextCall()
	}
	return call
}

// write sends a request. The end of a slow upload follows at a random moment.
func (c *client) write(call *Call, text string) error {
	if !c.uploads {
		_, err := io.WriteString(c.conn, text)
		return err
	}
	split := len(text) - uploadedLast
	if _, err := io.WriteString(c.conn, text[:split]); err != nil {
		return err
	}
	time.Sleep(time.Duration(c.rng.Int64N(int64(maxUploadTime))))
	_, err := io.WriteString(c.conn, text[split:])
	c.w.observed.record(func() { call.Whole = time.Now() })
	return err
}

// slowUploadsAnswered checks that a process that is stopped responds to requests that become whole meanwhile.
func (c *checker) slowUploadsAnswered() Guarantee {
	g := Guarantee{Name: "a request that becomes whole during a planned stop gets an answer"}
	for _, call := range c.observed.Calls {
		stop := c.stopDuring(call)
		if !call.Slow || call.Whole.IsZero() || stop == nil || call.Whole.Before(stop.From) || c.observed.wasDisturbed(call.Gateway, call.Sent.Add(-c.o.Bounds.ContactTime), call.Ended, isNotPlannedStop) {
			continue
		}
		g.Cases++
		if c.interrupted(call, call.Whole) && !c.brokenByGarbage(call) {
			g.addViolation(call.ID, "%s: became whole %s after %s was told to stop, interrupted %s later: %s",
				call.ID, call.Whole.Sub(stop.From), gatewayName(call.Gateway), call.Ended.Sub(call.Whole), call.Err)
		}
	}
	return g
}

// brokenByGarbage reports whether a stream had begun and an instance sent bytes for it that are no part of it. A process breaks
// such a stream off if it may not or cannot resume it.
func (c *checker) brokenByGarbage(call *Call) bool {
	return call.Status == http.StatusOK && (c.observed.Garbled[call.ID] || c.observed.Foreign[call.ID])
}
