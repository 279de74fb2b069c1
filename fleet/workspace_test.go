package fleet

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fault"
)

func TestParseKeyHashRejectsInvalidText(t *testing.T) {
	want := HashKey("k")
	got, err := ParseKeyHash(want.String())
	require.NoError(t, err)
	require.Equal(t, want, got)
	whole := want.String()
	for _, text := range []string{"", whole[:1], whole[:len(whole)-2], whole + "0", whole + "00", whole + whole, strings.Repeat("x", len(whole))} {
		_, err := ParseKeyHash(text)
		require.True(t, fault.Is(err, fault.Invalid), "%q", text)
	}
}
