// Package jsonc is a strict decoder for JSON with comments. A document is validated
// against a JSON schema, and all problems found are reported together, each with
// file, line, column, path and remedy. Defaults come from the schema, so that the
// type, unit, range and default of a field are defined in one place.
package jsonc

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/tailscale/hujson"

	"github.com/rockdoor/rockdoor/fault"
)

// MaxDepth is the maximum nesting depth of a document.
const MaxDepth = 64

// Schema is a compiled JSON schema, together with its source for the defaults.
type Schema struct {
	compiled *jsonschema.Schema
	raw      any
}

// MustCompile compiles a schema that is embedded in the program. It panics if the
// schema is invalid.
func MustCompile(name string, text []byte) *Schema {
	raw, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(errors.Wrapf(err, "schema %s", name))
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, raw); err != nil {
		panic(errors.Wrapf(err, "schema %s", name))
	}
	return &Schema{compiled: c.MustCompile(name), raw: raw}
}

// Document is a parsed document with the position of each of its fields.
type Document struct {
	file string
	text []byte
	root hujson.Value
}

// Decode parses and validates text, fills in the defaults of the schema and stores
// the result in out, a pointer to a struct. The file name appears only in problems.
// All problems are returned in one error; see Problems.Err and ProblemsOf.
func Decode(file string, text []byte, s *Schema, out any) (*Document, error) {
	doc := &Document{file: file, text: text}
	if depth(text) > MaxDepth {
		return nil, Problems{doc.problemAt(0, "", "document is nested too deeply", "reduce the nesting")}.Err()
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, Problems{doc.syntaxProblem(err)}.Err()
	}
	doc.root = root
	if ps := doc.duplicateFields(); len(ps) > 0 {
		return nil, ps.Err()
	}
	std := root.Clone()
	std.Standardize()
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(std.Pack()))
	if err != nil {
		return nil, Problems{doc.problemAt(0, "", err.Error(), "correct the JSON syntax")}.Err()
	}
	if ps := doc.validate(s, value); len(ps) > 0 {
		return nil, ps.Err()
	}
	full, err := json.Marshal(s.withDefaults(s.raw, value))
	if err != nil {
		return nil, errors.Wrap(err, "encode with defaults")
	}
	dec := json.NewDecoder(bytes.NewReader(full))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return nil, Problems{doc.problemAt(0, "", err.Error(), "correct the value")}.Err()
	}
	return doc, nil
}

// Problem returns a problem at the field with the given JSON pointer.
func (d *Document) Problem(pointer, msg, remedy string) Problem {
	offset := 0
	if v := d.root.Find(pointer); v != nil {
		offset = v.StartOffset
	}
	return d.problemAt(offset, pointer, msg, remedy)
}

func (d *Document) problemAt(offset int, pointer, msg, remedy string) Problem {
	offset = min(max(offset, 0), len(d.text))
	before := d.text[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - bytes.LastIndexByte(before, '\n')
	return Problem{File: d.file, Line: line, Column: column, Path: pointer, Msg: msg, Remedy: remedy}
}

// syntaxProblem converts a parse error to a Problem. It takes the position from the
// text of the error, which starts with "hujson: line L, column C: ".
func (d *Document) syntaxProblem(err error) Problem {
	p := d.problemAt(0, "", strings.TrimPrefix(err.Error(), "hujson: "), "correct the JSON syntax")
	position, msg, ok := strings.Cut(p.Msg, ": ")
	if !ok {
		return p
	}
	line, column, ok := strings.Cut(strings.TrimPrefix(position, "line "), ", column ")
	if !ok {
		return p
	}
	p.Line, _ = strconv.Atoi(line)
	p.Column, _ = strconv.Atoi(column)
	p.Msg = msg
	return p
}

// depth returns an upper bound of the nesting depth. It also counts opening
// brackets in strings and comments.
func depth(text []byte) int {
	deepest, current := 0, 0
	for _, c := range text {
		switch c {
		case '[', '{':
			current++
			deepest = max(deepest, current)
		case ']', '}':
			current--
		}
	}
	return deepest
}

// duplicateFields returns a problem for each repeated field name in an object.
func (d *Document) duplicateFields() Problems {
	var ps Problems
	for v := range d.root.All() {
		obj, ok := v.Value.(*hujson.Object)
		if !ok {
			continue
		}
		seen := map[string]bool{}
		for _, m := range obj.Members {
			name := m.Name.Value.(hujson.Literal).String()
			if seen[name] {
				ps = append(ps, d.problemAt(m.Name.StartOffset, name, "field "+strconv.Quote(name)+" is given twice", "remove one of them"))
			}
			seen[name] = true
		}
	}
	return ps
}

// Pointer returns the JSON pointer with the given reference tokens, escaped.
func Pointer(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		b.WriteByte('/')
		b.WriteString(strings.NewReplacer("~", "~0", "/", "~1").Replace(p))
	}
	return b.String()
}

// ProblemsOf returns the problems in an error of Decode or Problems.Err, or nil.
func ProblemsOf(err error) Problems {
	var f *fault.Error
	if !errors.As(err, &f) {
		return nil
	}
	var ps Problems
	if errors.As(f.Cause, &ps) {
		return ps
	}
	return nil
}
