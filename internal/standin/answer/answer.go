// Package answer defines the deterministic text that the stand-in engines
// generate for a prompt. A client that knows the prompt can therefore verify a
// response byte for byte.
//
// A text is generated in pieces, one for each output token.
package answer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	minPieces       = 4
	pieceCountRange = 28
	bytesPerToken   = 4
	alphabetSize    = 26
)

// Tokens estimates the number of tokens in text from its length in bytes.
func Tokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// Length returns the number of pieces in the response to prompt. If limit is
// positive, the response has exactly that many pieces.
func Length(prompt string, limit int) int {
	if limit > 0 {
		return limit
	}
	return minPieces + int(xxhash.Sum64String(prompt)%pieceCountRange)
}

// Piece returns the i-th piece of the response to prompt, counted from 0.
func Piece(prompt string, i int) string {
	h := xxhash.Sum64String(prompt + "#" + strconv.Itoa(i))
	return string(rune('a'+h%alphabetSize)) + strconv.FormatUint(h%1000, 10) + " "
}

// Text returns the complete response to prompt. The limit has the same meaning as in
// Length.
func Text(prompt string, limit int) string {
	var b strings.Builder
	for i := range Length(prompt, limit) {
		b.WriteString(Piece(prompt, i))
	}
	return b.String()
}
