package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/rockdoor/rockdoor/fault"
)

// Fingerprint identifies a request across retries by its workspace, method, host, path with the
// query, and body. It is the first half of a SHA-256 hash, so that nobody can construct a request
// with the fingerprint of a request of another workspace.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(workspace, method, host, uri string, body []byte) Fingerprint {
	h := sha256.New()
	hashFields(h, workspace, method, host, uri)
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// hashFields hashes fields with their lengths.
func hashFields(h hash.Hash, fields ...string) {
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		_, _ = io.WriteString(h, field) // writing to a hash never fails
	}
}

// fingerprintOfFields returns the fingerprint of fields.
func fingerprintOfFields(fields ...string) Fingerprint {
	h := sha256.New()
	hashFields(h, fields...)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// ParseFingerprint parses the output of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	if hex.DecodedLen(len(text)) != len(f) {
		return f, fault.Newf(fault.Invalid, "give 32 hexadecimal digits", "%q is not a fingerprint", text)
	}
	if _, err := hex.Decode(f[:], []byte(text)); err != nil {
		return f, fault.Wrap(err, fault.Invalid, "not a fingerprint", "give 32 hexadecimal digits")
	}
	return f, nil
}

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
