// Package rawresponse implements a stand-in for a server in trouble, which sends given bytes as its response.
package rawresponse

import (
	"io"
	"net/http"
)

// Head is a part of the head of a response. Status is the status line, after a whole informational response if there is one.
// Fields are whole lines.
type Head struct{ Status, Fields string }

const (
	statusOK  = "HTTP/1.1 200 OK"
	earlyHint = "HTTP/1.1 103 Early Hints\r\n"
)

// BrokenHeads returns heads by what is wrong with them. No reader may take their responses for answers.
func BrokenHeads() map[string]Head {
	return map[string]Head{
		"status 000":                                  {Status: "HTTP/1.1 000 None"},
		"status 099":                                  {Status: "HTTP/1.1 099 Early"},
		"status 600":                                  {Status: "HTTP/1.1 600 Late"},
		"a status of two digits":                      {Status: "HTTP/1.1 20 OK"},
		"a control byte in the status":                {Status: "HTTP/1.1 2\x0100 OK"},
		"a blank in a field's name":                   {statusOK, "X A: b\r\n"},
		"a blank in the name of the length":           {statusOK, "Content Length: 3\r\n"},
		"a blank in the name of the encoding":         {statusOK, "Transfer Encoding: chunked\r\n"},
		"a blank before the colon":                    {statusOK, "X-A : b\r\n"},
		"a tab in a field's name":                     {statusOK, "X\tA: b\r\n"},
		"a control byte in a field's name":            {statusOK, "X\x01A: b\r\n"},
		"NUL in a field's name":                       {statusOK, "X\x00A: b\r\n"},
		"CR in a field's name":                        {statusOK, "X\rA: b\r\n"},
		"DEL in a field's name":                       {statusOK, "X\x7fA: b\r\n"},
		"a separator in a field's name":               {statusOK, "X(A: b\r\n"},
		"a byte over 127 in a field's name":           {statusOK, "X\xe9A: b\r\n"},
		"a field without a name":                      {statusOK, ": b\r\n"},
		"a line without a colon":                      {statusOK, "X-A b\r\n"},
		"a blank in a field's name of an early hint":  {Status: earlyHint + "X A: b\r\n\r\n" + statusOK},
		"a control byte in a field's name of a hint":  {Status: earlyHint + "X\x01A: b\r\n\r\n" + statusOK},
		"a blank before the colon in an early hint":   {Status: earlyHint + "X-A : b\r\n\r\n" + statusOK},
		"status 000 after an early hint":              {Status: earlyHint + "X-A: b\r\n\r\nHTTP/1.1 000 None"},
		"a blank in a field's name after a sound one": {statusOK, "X-A: b\r\nX B: c\r\n"},
	}
}

// Send sends a response as it is and closes the connection. A response that a client takes for an answer should announce it with
// "Connection: close".
func Send(w http.ResponseWriter, response string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, response) // the client may have closed the connection
	_ = conn.Close()
}

// Handler returns a handler that sends a response to each request.
func Handler(response func(*http.Request) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // unread bytes would have the kernel reset the connection
		Send(w, response(r))
	})
}
