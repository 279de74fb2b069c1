// Package httpapi is the adapter to an object API over HTTP and JSON.
//
//	GET    /objects/{key}                      one object
//	GET    /objects?prefix=P                   all objects below a prefix
//	PUT    /objects/{key}?ifVersion=V&writeID=W conditional write; 409 on conflict
//	DELETE /objects/{key}?ifVersion=V          conditional delete
//	GET    /watch?prefix=P&after=R&wait=D      long poll; 410 after a gap
//	GET    /hosts                              lagging list of hosts
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
)

const maxResponseBytes = 64 << 20

// ListResponse is the body of a list call.
type ListResponse struct {
	Objects  []objstore.Object `json:"objects"`
	Revision objstore.Revision `json:"revision"`
}

// WatchResponse is the body of a watch call.
type WatchResponse struct {
	Events   []objstore.Event  `json:"events"`
	Revision objstore.Revision `json:"revision"`
}

// Client talks to the object API at one base URL.
type Client struct {
	base string
	http *http.Client
}

var (
	_ objstore.Store      = (*Client)(nil)
	_ objstore.HostLister = (*Client)(nil)
)

// New returns a client for the API at base, such as http://127.0.0.2:9000.
func New(base string) *Client {
	tr := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	return &Client{base: base, http: &http.Client{Transport: tr}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements objstore.Store.
func (c *Client) Get(ctx context.Context, key string) (objstore.Object, error) {
	var obj objstore.Object
	err := c.do(ctx, http.MethodGet, "/objects/"+url.PathEscape(key), nil, nil, &obj)
	return obj, err
}

// List implements objstore.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]objstore.Object, objstore.Revision, error) {
	var out ListResponse
	err := c.do(ctx, http.MethodGet, "/objects", url.Values{"prefix": {prefix}}, nil, &out)
	return out.Objects, out.Revision, err
}

// Put implements objstore.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion objstore.Version, writeID string) (objstore.Object, error) {
	if len(value) > objstore.MaxValueBytes {
		return objstore.Object{}, fault.Newf(fault.Invalid, "split it", "value of %s has %d bytes, the limit is %d", key, len(value), objstore.MaxValueBytes)
	}
	q := url.Values{"ifVersion": {formatInt(int64(ifVersion))}, "writeID": {writeID}}
	var obj objstore.Object
	err := c.do(ctx, http.MethodPut, "/objects/"+url.PathEscape(key), q, value, &obj)
	return obj, err
}

// Delete implements objstore.Store.
func (c *Client) Delete(ctx context.Context, key string, ifVersion objstore.Version) error {
	q := url.Values{"ifVersion": {formatInt(int64(ifVersion))}}
	return c.do(ctx, http.MethodDelete, "/objects/"+url.PathEscape(key), q, nil, nil)
}

// Watch implements objstore.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after objstore.Revision, wait time.Duration) ([]objstore.Event, objstore.Revision, error) {
	q := url.Values{
		"prefix": {prefix},
		"after":  {formatInt(int64(after))},
		"wait":   {wait.String()},
	}
	var out WatchResponse
	err := c.do(ctx, http.MethodGet, "/watch", q, nil, &out)
	return out.Events, out.Revision, err
}

// Hosts implements objstore.HostLister.
func (c *Client) Hosts(ctx context.Context) ([]objstore.Host, error) {
	var hosts []objstore.Host
	err := c.do(ctx, http.MethodGet, "/hosts", nil, nil, &hosts)
	return hosts, err
}

func formatInt(i int64) string { return strconv.FormatInt(i, 10) }

// do sends one call and decodes its answer into out. The body has no GetBody,
// so that the transport never repeats a write by itself.
func (c *Client) do(ctx context.Context, method, path string, q url.Values, body []byte, out any) error {
	u := c.base + path
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, u, nil)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "platform call cannot be built", "check the platform address in the settings")
	}
	if body != nil {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return lost(err, method, sent.Load())
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return lost(err, method, true)
	}
	if err := statusError(resp.StatusCode, method, path, data); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return lost(err, method, true)
	}
	return nil
}

// lost classifies a call whose answer did not arrive.
func lost(err error, method string, sent bool) error {
	if sent && method != http.MethodGet {
		return fault.Wrap(err, fault.Unknown, "answer of the platform store was lost", "read the object back before writing again")
	}
	return fault.Wrap(err, fault.Unavailable, "platform store did not answer", "check the platform address; the call may be repeated")
}

func statusError(code int, method, path string, body []byte) error {
	if len(body) > 200 {
		body = body[:200]
	}
	text := string(bytes.TrimSpace(body))
	switch {
	case code < 300:
		return nil
	case code == http.StatusNotFound:
		return fault.Newf(fault.NotFound, "check the name", "%s does not exist", path)
	case code == http.StatusConflict:
		return fault.Newf(fault.Conflict, "read it again and repeat the change", "%s was changed by another writer", path)
	case code == http.StatusGone:
		return objstore.ErrWatchGap
	case code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable:
		return fault.Newf(fault.Unavailable, "wait and repeat the call", "platform store refused %s %s: %d %s", method, path, code, text)
	case code >= 500 && method != http.MethodGet:
		return fault.Newf(fault.Unknown, "read the object back before writing again", "platform store failed on %s %s: %d %s", method, path, code, text)
	case code >= 500:
		return fault.Newf(fault.Unavailable, "wait and repeat the call", "platform store failed on %s %s: %d %s", method, path, code, text)
	default:
		return fault.Newf(fault.Invalid, "correct the call", "platform store rejected %s %s: %d %s", method, path, code, text)
	}
}
