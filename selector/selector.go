// Package selector matches label selectors against labels. The syntax is that of
// Kubernetes label selectors: requirements such as "zone=a", "tier in (x, y)",
// "zone notin (b)", "gpu" or "!spot", joined by commas.
package selector

import (
	"github.com/cespare/xxhash/v2"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/rockdoor/rockdoor/fault"
)

// MaxBytes is the maximum length of the text of a selector.
const MaxBytes = 4096

// Labels are the labels of a host, engine or backend server.
type Labels = labels.Set

// Selector permits or rejects sets of labels. The zero Selector permits all of them.
// A Selector is immutable.
type Selector struct {
	text string
	sel  labels.Selector
}

// Parse parses a selector. An empty text gives the zero Selector, which permits
// everything.
func Parse(text string) (Selector, error) {
	if len(text) > MaxBytes {
		return Selector{}, fault.Newf(fault.Invalid, "shorten it", "selector has %d bytes, the limit is %d", len(text), MaxBytes)
	}
	if text == "" {
		return Selector{}, nil
	}
	sel, err := labels.Parse(text)
	if err != nil {
		return Selector{}, fault.Wrap(err, fault.Invalid, "selector cannot be read", `write it like "zone=a", "tier in (x, y)", "zone notin (b)", "gpu" or "!spot", joined by commas`)
	}
	return Selector{text: text, sel: sel}, nil
}

// Matches reports whether the selector permits l.
func (s Selector) Matches(l Labels) bool { return s.sel == nil || s.sel.Matches(l) }

// String returns the text that the selector was parsed from.
func (s Selector) String() string { return s.text }

// Empty reports whether the selector permits everything.
func (s Selector) Empty() bool { return s.sel == nil }

// Named is a selector with the name of the rule that it belongs to.
type Named struct {
	// Rule names the owner of the selector, such as "workspace palermo".
	Rule string
	Selector
}

// All is a list of selectors. It permits labels that every selector permits.
type All []Named

// Rejects reports whether some selector does not permit l, and returns the rule
// and text of the first such selector.
func (a All) Rejects(l Labels) (rule string, rejected bool) {
	for _, s := range a {
		if !s.Matches(l) {
			return s.Rule + " " + s.text, true
		}
	}
	return "", false
}

// Hash returns a hash of the selectors' texts, which is equal for equal lists. The
// names of the rules are not part of it.
func (a All) Hash() uint64 {
	h := xxhash.New()
	for _, s := range a {
		_, _ = h.WriteString(s.text)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
