package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/rockdoor/rockdoor/fault"
)

// Fingerprint names what is the same in each try of a request: its workspace, method, host,
// path with the query, and body. It is the first half of a SHA-256, so that nobody finds a
// second request with the fingerprint of another workspace's.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(workspace, method, host, uri string, body []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, field := range []string{workspace, method, host, uri} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		_, _ = io.WriteString(h, field) // a hash takes all
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// ParseFingerprint reads what String writes.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	if hex.DecodedLen(len(text)) != len(f) {
		return f, fault.Newf(fault.Invalid, "give 32 hexadecimal digits", "%q is no fingerprint", text)
	}
	if _, err := hex.Decode(f[:], []byte(text)); err != nil {
		return f, fault.Wrap(err, fault.Invalid, "no fingerprint", "give 32 hexadecimal digits")
	}
	return f, nil
}

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
