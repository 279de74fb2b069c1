package selector_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/selector"
)

func Example() {
	s, err := selector.Parse("zone in (a, b), tier=gold, !spot")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(s.Matches(selector.Labels{"zone": "a", "tier": "gold"}))
	fmt.Println(s.Matches(selector.Labels{"zone": "a", "tier": "gold", "spot": "yes"}))
	// Output:
	// true
	// false
}

func TestMatches(t *testing.T) {
	labels := selector.Labels{"zone": "a", "gpu": ""}
	for text, want := range map[string]bool{
		"": true, "zone=a": true, "zone==a": true, "zone!=a": false, "zone in (a,b)": true, "zone notin (a)": false,
		"gpu": true, "!gpu": false, "missing": false, "!missing": true, "zone=a,gpu": true, "zone=a,!gpu": false,
	} {
		s, err := selector.Parse(text)
		require.NoError(t, err, text)
		require.Equal(t, want, s.Matches(labels), text)
	}
}

func TestParseErrorsNameTheRemedy(t *testing.T) {
	for _, text := range []string{"zone in", "=a", "zone=a b", strings.Repeat("a", selector.MaxBytes+1)} {
		_, err := selector.Parse(text)
		require.True(t, fault.Is(err, fault.Invalid), text)
		require.ErrorContains(t, err, "remedy")
	}
}

func TestAllReturnsTheRuleThatRejects(t *testing.T) {
	gold, err := selector.Parse("tier=gold")
	require.NoError(t, err)
	rules := selector.All{{Rule: "model m", Selector: gold}}
	rule, rejected := rules.Rejects(selector.Labels{"tier": "iron"})
	require.True(t, rejected)
	require.Equal(t, "model m tier=gold", rule)
}

func FuzzParse(f *testing.F) {
	f.Add("zone in (a, b), tier=gold, !spot")
	f.Add("a notin (")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := selector.Parse(text)
		if err != nil {
			return
		}
		again, err := selector.Parse(s.String())
		if err != nil || again.Matches(nil) != s.Matches(nil) {
			t.Fatalf("%q: the text of the selector does not parse to an equivalent selector", text)
		}
	})
}
