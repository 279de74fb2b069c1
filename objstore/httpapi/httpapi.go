// Package httpapi is the adapter to an object API that uses HTTP and JSON.
//
//	GET    /objects/{key}                      one object
//	GET    /objects?prefix=P                   all objects below a prefix
//	PUT    /objects/{key}?ifVersion=V&writeID=W conditional write; 409 on conflict
//	DELETE /objects/{key}?ifVersion=V          conditional delete
//	GET    /watch?prefix=P&after=R&wait=D      long poll; 410 if revision R is too old
//	GET    /hosts                              list of hosts, possibly out of date
package httpapi

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/tcpreset"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/objstore/httpcall"
)

// maxResponseBytes bounds the body of a response. Lists come in one piece.
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

// Client calls the object API at one base URL.
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
	transport := &http.Transport{DialContext: tcpreset.Dial(&net.Dialer{}), MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	return &Client{base: base, http: httpcall.NewClient(transport)}
}

// Close closes idle connections.
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

// do sends one call and decodes the response into out.
func (c *Client) do(ctx context.Context, method, path string, q url.Values, body []byte, out any) error {
	u := c.base + path
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	return httpcall.Do(ctx, c.http, method, u, body, out, maxResponseBytes)
}
