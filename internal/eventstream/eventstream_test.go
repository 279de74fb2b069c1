package eventstream

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEventsAsRunsWriteThemPass checks events in the forms that the platform describes.
func TestEventsAsRunsWriteThemPass(t *testing.T) {
	for name, event := range map[string]string{
		"plain":                    "id: 8\ndata: x\n\n",
		"no spaces":                "id:8\ndata:x\n\n",
		"ID last":                  "data: x\nid: 8\n\n",
		"a version of the weights": "x-weight-versions: 12\nid: 8\ndata: x\n\n",
		"a comment":                ": comment\nid: 8\n:\ndata: x\n\n",
		"lines of data":            "id: 8\ndata: x\ndata\ndata:\ndata:  \ty: z\n\n",
		"a type and a pause":       "event: token\nretry: 100\nid: 8\ndata: x\n\n",
		"no data":                  "id: 8\n\n",
		"an unknown field":         "my_Field-2: x\nid: 8\ndata: x\n\n",
		"large":                    "id: 8\ndata: " + strings.Repeat("x", 250<<10) + "\n\n",
		"other scripts":            "id: 8\ndata: õü 語 🐟\u2028\n\n",
	} {
		for _, e := range []string{event, strings.ReplaceAll(event, "\n", "\r\n")} {
			c := After("7")
			id, err := c.Check([]byte(e))
			require.NoError(t, err, name)
			require.Equal(t, "8", id, name)
			id, err = c.Check([]byte("id: 9\n\n"))
			require.NoError(t, err, name)
			require.Equal(t, "9", id, name)
		}
	}
}

// TestRunsBeginAfterTheLastEvent checks which ID the first event of a run may have.
func TestRunsBeginAfterTheLastEvent(t *testing.T) {
	for after, first := range map[string]string{"": "1", "0": "1", "41": "42", "1000000000000000000": "1000000000000000001", "x": "7", "-1": "7", "99999999999999999999": "7"} {
		_, err := After(after).Check([]byte("id: " + first + "\n\n"))
		require.NoError(t, err, "after %q", after)
	}
	for after, first := range map[string]string{"": "2", "0": "0", "41": "41", "7": "9", "x": "y"} {
		_, err := After(after).Check([]byte("id: " + first + "\n\n"))
		require.ErrorIs(t, err, ErrWrongID, "after %q", after)
	}
}

// TestOtherBytesAreNoEvent names the reason for each kind of bytes.
func TestOtherBytesAreNoEvent(t *testing.T) {
	for text, reason := range map[string]error{
		"\n": ErrBlank, "\r\n": ErrBlank,
		"id: 1\ndata: \xff\n\n": ErrBytes, "id: 1\ndata: \x00\n\n": ErrBytes, ": \x1b\n\n": ErrBytes, "id: 1\rid: 2\n\n": ErrBytes, "id: 1\n\r\r\n": ErrBytes,
		"garbage\nid: 1\n\n": ErrField, "HTTP/1.1 200 OK\r\n\r\n": ErrField, "a b: c\nid: 1\n\n": ErrField, "id\n\n": ErrField, "\u00e9: x\nid: 1\n\n": ErrField,
		"data: x\n\n": ErrNoID, "id:\n\n": ErrNoID, "id: \n\n": ErrNoID, "Id: 1\n\n": ErrNoID, "data\n\n": ErrNoID,
		"id: 1\nid: 1\n\n": ErrTwoIDs, "id:\nid: 1\n\n": ErrTwoIDs,
		"id: 2\n\n": ErrWrongID, "id: 0\n\n": ErrWrongID, "id: -1\n\n": ErrWrongID, "id: +1\n\n": ErrWrongID, "id: 01\n\n": ErrWrongID, "id:  1\n\n": ErrWrongID, "id: 1 \n\n": ErrWrongID, "id: 1e0\n\n": ErrWrongID, "id: 18446744073709551617\n\n": ErrWrongID,
	} {
		_, err := After("").Check([]byte(text))
		require.ErrorIs(t, err, reason, "%q", text)
	}
	id, err := After("").Check([]byte(": comment\n\n"))
	require.NoError(t, err)
	require.Empty(t, id)
}

// BenchmarkCheck measures the check of events of usual sizes.
func BenchmarkCheck(b *testing.B) {
	for name, size := range map[string]int{"32 bytes": 32, "4 KB": 4 << 10} {
		b.Run(name, func(b *testing.B) {
			event := []byte("id: 8\ndata: " + strings.Repeat("x", size) + "\n\n")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := (&Checker{next: 8}).Check(event); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
