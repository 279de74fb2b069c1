// Package httpcall makes one call of an object store over HTTP with JSON bodies
// and says what is known of its effect afterwards.
package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
)

// maxAnswer bounds one answer in bytes.
const maxAnswer = 64 << 20

// Do sends body, if there is one, and decodes the answer into out, unless out is
// nil. The errors are of the kinds that objstore.Store documents. The body cannot
// be read twice, so that the transport never repeats a write by itself.
func Do(ctx context.Context, client *http.Client, method, url string, body []byte, out any) error {
	return DoHeaded(ctx, client, method, url, body, out, func(http.Header) error { return nil })
}

// DoHeaded is Do that shows the head of each answer to a function first, whose error takes the
// place of the answer.
func DoHeaded(ctx context.Context, client *http.Client, method, url string, body []byte, out any, head func(http.Header) error) error {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "call of the store cannot be built", "check the store's address in the settings")
	}
	if body != nil {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return lost(err, method, sent.Load())
	}
	defer resp.Body.Close()
	if err := head(resp.Header); err != nil {
		return err
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return lost(err, method, true)
	}
	if err := statusError(resp.StatusCode, method, req.URL.Path, data); err != nil {
		return err
	}
	if out == nil || len(data) == 0 {
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
		return fault.Wrap(err, fault.Unknown, "answer of the store was lost", "read the object back before writing again")
	}
	return fault.Wrap(err, fault.Unavailable, "store did not answer", "check the path to the store; the call may be repeated")
}

func statusError(code int, method, path string, body []byte) error {
	const shown = 200 // bytes of an unexpected answer that a message repeats
	text := string(bytes.TrimSpace(body[:min(len(body), shown)]))
	switch {
	case code < http.StatusMultipleChoices:
		return nil
	case code == http.StatusNotFound:
		return fault.Newf(fault.NotFound, "check the name", "%s does not exist", path)
	case code == http.StatusConflict:
		return fault.Newf(fault.Conflict, "read it again and repeat the change", "%s was changed by another writer", path)
	case code == http.StatusGone:
		return objstore.ErrWatchGap
	case code == http.StatusTooManyRequests, code == http.StatusServiceUnavailable:
		return fault.Newf(fault.Unavailable, "wait and repeat the call", "store refused %s %s: %d %s", method, path, code, text)
	case code >= http.StatusInternalServerError && method != http.MethodGet:
		return fault.Newf(fault.Unknown, "read the object back before writing again", "store failed on %s %s: %d %s", method, path, code, text)
	case code >= http.StatusInternalServerError:
		return fault.Newf(fault.Unavailable, "wait and repeat the call", "store failed on %s %s: %d %s", method, path, code, text)
	}
	return fault.Newf(fault.Invalid, "correct the call", "store rejected %s %s: %d %s", method, path, code, text)
}
