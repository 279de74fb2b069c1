package engine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReadRateLimit(t *testing.T) {
	for text, want := range map[string]RateLimit{
		"":      {},
		"10.8":  {Limited: true, PerSecond: 10.8},
		" 3 ":   {Limited: true, PerSecond: 3},
		"0":     {Limited: true},
		"1e999": {Limited: true, PerSecond: maxRate},
		"Inf":   {Limited: true, PerSecond: maxRate},
		"-1":    {Malformed: "-1"},
		"-Inf":  {Malformed: "-Inf"},
		"NaN":   {Malformed: "NaN"},
		"few":   {Malformed: "few"},
	} {
		require.Equal(t, want, ParseRateLimit(text), text)
	}
}

func FuzzReadRateLimit(f *testing.F) {
	f.Add("10.8")
	f.Add("0x1p-2")
	f.Fuzz(func(t *testing.T, text string) {
		l := ParseRateLimit(text)
		require.True(t, l.PerSecond >= 0 && l.PerSecond <= maxRate, "%v", l)
		require.False(t, l.Limited && l.Malformed != "")
	})
}
