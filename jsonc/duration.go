package jsonc

import (
	"time"

	"github.com/rockdoor/rockdoor/fault"
)

// Duration is a time.Duration that is encoded as text, such as "250ms" or "2s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "not a duration", `write it like "250ms" or "2s"`)
	}
	*d = Duration(v)
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
