// Package responsehead checks heads of responses. net/http reads some that are no heads of HTTP/1, which other readers may
// understand in another way.
package responsehead

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// Reasons why a head is not that of a response of HTTP/1, although net/http accepts it.
var (
	ErrVersion   = errors.New("response has another version than HTTP/1")
	ErrStatus    = errors.New("response has a status that ends no exchange of HTTP/1")
	ErrFieldName = errors.New("response has a header field whose name is not a token")
	// ErrInformational is returned by Transport.
	ErrInformational = errors.New("response has too many informational responses before it")
)

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// Check returns an error if the head of a response that net/http has read is not one of HTTP/1. It accepts informational responses
// other than a switch of protocols.
func Check(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return ErrVersion
	case resp.StatusCode < http.StatusContinue, resp.StatusCode == http.StatusSwitchingProtocols, resp.StatusCode > maxStatus:
		return ErrStatus
	}
	return CheckNames(resp.Header)
}

// CheckNames returns an error if the name of a field is not a token (RFC 9110, section 5.6.2). net/http leaves a name with a blank
// as it is.
func CheckNames(h http.Header) error {
	for name := range h {
		if name == "" || strings.ContainsFunc(name, isNoTokenRune) {
			return ErrFieldName
		}
	}
	return nil
}

func isNoTokenRune(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
