// Package answer defines the deterministic text that the stand-in engines
// generate, so that a caller can check an answer byte for byte.
package answer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	minPieces      = 4
	pieceSpread    = 28
	bytesPerToken  = 4
	piecesAlphabet = 26
)

// Tokens estimates the number of tokens in text.
func Tokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// Length returns how many pieces the answer to prompt has. A positive limit is
// the exact length.
func Length(prompt string, limit int) int {
	if limit > 0 {
		return limit
	}
	return minPieces + int(xxhash.Sum64String(prompt)%pieceSpread)
}

// Piece returns the i-th piece of the answer to prompt.
func Piece(prompt string, i int) string {
	h := xxhash.Sum64String(prompt + "#" + strconv.Itoa(i))
	return string(rune('a'+h%piecesAlphabet)) + strconv.FormatUint(h%1000, 10) + " "
}

// Text returns the whole answer to prompt.
func Text(prompt string, limit int) string {
	var b strings.Builder
	for i := range Length(prompt, limit) {
		b.WriteString(Piece(prompt, i))
	}
	return b.String()
}
