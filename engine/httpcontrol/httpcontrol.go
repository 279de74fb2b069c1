// Package httpcontrol implements engine.Controller for engines whose control API is
// JSON over HTTP: GET /control/status and POST /control/order.
package httpcontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/responsehead"
	"github.com/rockdoor/rockdoor/internal/tcpreset"
)

const (
	maxResponseBytes = 1 << 20
	idleTimeout      = 30 * time.Second
)

// Client reads the status of engines and sends them orders over HTTP.
type Client struct {
	http *http.Client
}

var _ engine.Controller = (*Client)(nil)

// New returns a client. If transport is nil, the client creates its own.
func New(transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{DialContext: tcpreset.Dial(&net.Dialer{}), IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 1}
	}
	return &Client{http: responsehead.NewClient(transport)}
}

// Status implements engine.Controller.
func (c *Client) Status(ctx context.Context, address string) (engine.Status, error) {
	var st engine.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/control/status", nil)
	if err != nil {
		return st, fault.Wrap(err, fault.Invalid, "engine address is invalid", "correct it in the configuration")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return st, fault.Wrap(err, fault.Unavailable, "engine "+address+" did not return a status", "check the engine")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return st, fault.Newf(fault.Unavailable, "check the engine", "engine %s returned HTTP status %d for its status", address, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil {
		st, err = decodeStatus(body)
	}
	if err != nil {
		return engine.Status{}, fault.Wrap(err, fault.Unavailable, "engine "+address+" returned a status that cannot be decoded", "check the engine's version")
	}
	return st, nil
}

var (
	errIncomplete = errors.New("role or changing is missing or unknown")
	errNegative   = errors.New("token or load is negative")
)

func decodeStatus(body []byte) (engine.Status, error) {
	var w struct {
		engine.Status
		Changing *bool `json:"changing"`
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return engine.Status{}, err
	}
	st := w.Status
	switch {
	case st.Role != engine.RoleMixed && st.Role != engine.RolePrefill && st.Role != engine.RoleDecode, w.Changing == nil:
		return engine.Status{}, errIncomplete
	case min(st.Running, st.Waiting, st.PrefillTokens, st.DecodeTokens) < 0, st.Token < 0:
		return engine.Status{}, errNegative
	}
	st.Changing = *w.Changing
	return st, nil
}

// Send implements engine.Controller. The request has no GetBody, so that the transport
// never resends it by itself.
func (c *Client) Send(ctx context.Context, address string, o engine.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "order cannot be encoded", "report this as a defect")
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/control/order", nil)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "engine address is invalid", "correct it in the configuration")
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		return fault.Wrap(err, fault.Unavailable, "engine "+address+" cannot be reached", "check the engine")
	}
	if err != nil {
		return fault.Wrap(err, fault.Unknown, "response of engine "+address+" was lost", "read the engine's status")
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return responseError(address, resp.StatusCode, string(bytes.TrimSpace(text)))
}

func responseError(address string, code int, text string) error {
	switch code {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return fault.Newf(fault.Denied, "another controller has taken over", "engine %s rejected the fencing token: %s", address, text)
	case http.StatusConflict:
		return fault.Newf(fault.Conflict, "wait for the previous order", "engine %s is busy: %s", address, text)
	default:
		return fault.Newf(fault.Unknown, "read the engine's status", "engine %s answered %d: %s", address, code, text)
	}
}
