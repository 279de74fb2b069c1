package jsonc

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rockdoor/rockdoor/fault"
)

// Problem is one error in a document, with its position and remedy.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Path is the JSON pointer to the field.
	Path   string `json:"path"`
	Msg    string `json:"msg"`
	Remedy string `json:"remedy"`
}

// String formats the problem as "file:line:column: path: message (remedy: ...)".
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s (remedy: %s)", p.File, p.Line, p.Column, path, p.Msg, p.Remedy)
}

// Problems is the list of all problems found in a document. Err turns it into an
// error of kind fault.Invalid.
type Problems []Problem

// Error lists the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems, sorted by position, as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	sorted := slices.Clone(ps)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return fault.Wrap(sorted, fault.Invalid, fmt.Sprintf("%d problem(s) found", len(sorted)), "correct each of them and try again")
}
