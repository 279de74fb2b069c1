package jsonc

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fault"
)

const testSchema = `{
  "$id": "test.json", "type": "object", "additionalProperties": false, "required": ["name"],
  "properties": {
    "name": {"type": "string", "minLength": 1},
    "count": {"type": "integer", "minimum": 1, "default": 3},
    "part": {"$ref": "#/$defs/part", "default": {}},
    "parts": {"type": "array", "items": {"$ref": "#/$defs/part"}, "default": []}
  },
  "$defs": {"part": {"type": "object", "additionalProperties": false, "properties": {"size": {"type": "integer", "default": 7}}}}
}`

type testPart struct {
	Size int `json:"size"`
}

type testDoc struct {
	Name  string     `json:"name"`
	Count int        `json:"count"`
	Part  testPart   `json:"part"`
	Parts []testPart `json:"parts"`
}

var compiled = MustCompile("test.json", []byte(testSchema))

func TestDecodeFillsInDefaultsNextToReferences(t *testing.T) {
	var d testDoc
	_, err := Decode("f", []byte(`{"name": "a", /* comment */ "parts": [{}, {"size": 2}],}`), compiled, &d)
	require.NoError(t, err)
	require.Equal(t, testDoc{Name: "a", Count: 3, Part: testPart{7}, Parts: []testPart{{7}, {2}}}, d)
}

func TestDecodeReportsAllProblemsWithPositionAndRemedy(t *testing.T) {
	text := "{\n  \"nam\": \"a\",\n  \"count\": 0,\n  \"parts\": [{\"size\": \"x\"}]\n}"
	_, err := Decode("f.json", []byte(text), compiled, &testDoc{})
	require.True(t, fault.Is(err, fault.Invalid))
	var lines []string
	for _, p := range ProblemsOf(err) {
		lines = append(lines, p.String())
	}
	require.Equal(t, []string{
		`f.json:1:1: /: field name is missing (remedy: add it)`,
		`f.json:2:3: /nam: unknown field "nam" (remedy: did you mean "name"?)`,
		`f.json:3:12: /count: value 0 is too small (remedy: use at least 1)`,
		`f.json:4:22: /parts/0/size: value has type string (remedy: use type integer)`,
	}, lines)
}

func TestDecodeRejectsInvalidDocuments(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"syntax":     {"{\n \"name\": }", "f:2:"},
		"empty":      {"", "f:1:1"},
		"twice":      {`{"name": "a", "name": "b"}`, "is given twice"},
		"too deep":   {strings.Repeat("[", MaxDepth+1), "nested too deeply"},
		"wrong type": {`[]`, "value has type array"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode("f", []byte(c.text), compiled, &testDoc{})
			require.True(t, fault.Is(err, fault.Invalid))
			require.ErrorContains(t, err, c.want)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "parts": [{"size": 1}]}`))
	f.Add([]byte(`{"name": "a",, }`))
	f.Add([]byte("// x\n{\"a/b~c\": {\"\": 1}}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var d testDoc
		if _, err := Decode("f", text, compiled, &d); err == nil && d.Name == "" {
			t.Fatal("accepted without a name")
		}
	})
}
