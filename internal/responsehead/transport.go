package responsehead

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// NewClient returns a client that rejects responses as Transport does and follows no redirects.
func NewClient(base http.RoundTripper) *http.Client {
	return &http.Client{Transport: Transport{Base: base}, CheckRedirect: dontRedirect}
}

// dontRedirect has the redirect itself be the response: the server that it names is not the one that was asked.
func dontRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// maxInformational bounds the informational responses before a final one. net/http bounds each by itself if they are looked at.
const maxInformational = 5

// Transport rejects responses whose head is not one of HTTP/1. Their connections are closed.
type Transport struct {
	// Base makes the calls.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	informational := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
		if informational++; informational > maxInformational {
			return ErrInformational
		}
		return CheckNames(http.Header(h))
	}}
	resp, err := t.Base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close() // the response is discarded
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the base.
func (t Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
