// Package httpcall makes a single call to an object store over HTTP with JSON
// bodies. The kind of a returned error says whether the call may have taken
// effect.
package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/responsehead"
	"github.com/rockdoor/rockdoor/objstore"
)

// maxHeaderBytes bounds the header of a response.
const maxHeaderBytes = 64 << 10

// NewClient returns a client of a store, which bounds and checks the heads of responses. It takes over the transport.
func NewClient(transport *http.Transport) *http.Client {
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	return responsehead.NewClient(transport)
}

// Do makes one call with a client of NewClient. A nil body sends none, and a nil out ignores the response
// body. An out of type *[]byte receives it as it is. The response may have at most maxBytes. The errors are of the kinds that objstore.Store documents. The request body
// cannot be read a second time, so that the transport never retries a write by
// itself.
func Do(ctx context.Context, client *http.Client, method, url string, body []byte, out any, maxBytes int64) error {
	return DoCheckHeader(ctx, client, method, url, body, out, maxBytes, func(http.Header) error { return nil })
}

// DoCheckHeader is like Do, but passes the header of the response to head first. If head returns an
// error, that error is returned and the response is ignored.
func DoCheckHeader(ctx context.Context, client *http.Client, method, url string, body []byte, out any, maxBytes int64, head func(http.Header) error) error {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "request to the store cannot be created", "check the store's address in the settings")
	}
	if body != nil {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return lostResponse(err, method, sent.Load())
	}
	defer resp.Body.Close()
	if err := head(resp.Header); err != nil {
		return err
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err == nil && int64(len(data)) > maxBytes {
		err = fault.Newf(fault.Exhausted, "check the store", "response is larger than %d bytes", maxBytes)
	}
	if err != nil {
		return lostResponse(err, method, true)
	}
	if err := statusError(resp.StatusCode, method, req.URL.Path, data); err != nil {
		return err
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = data
		return nil
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return lostResponse(err, method, true)
	}
	return nil
}

// lostResponse returns the error of a call without a usable response. The outcome
// of a write is unknown if it was sent.
func lostResponse(err error, method string, sent bool) error {
	if sent && method != http.MethodGet {
		return fault.Wrap(err, fault.Unknown, "answer of the store was lost", "read the object back before writing again")
	}
	return fault.Wrap(err, fault.Unavailable, "store did not respond", "check the network path to the store; the call may be repeated")
}

// isDone reports whether a status says that a call was carried out, and for a read that the body is all of what was asked for.
func isDone(code int, method string) bool {
	switch code {
	case http.StatusOK:
		return true
	case http.StatusCreated, http.StatusNoContent:
		return method != http.MethodGet
	}
	return false
}

func statusError(code int, method, path string, body []byte) error {
	const maxShown = 200 // bytes of the response body that an error message quotes
	text := string(bytes.TrimSpace(body[:min(len(body), maxShown)]))
	switch {
	case isDone(code, method):
		return nil
	case code < http.StatusBadRequest:
		return lostResponse(errors.Newf("store returned HTTP status %d for %s %s", code, method, path), method, true)
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
