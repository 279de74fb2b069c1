// Package jsonc decodes JSON with comments strictly. A document is checked
// against a JSON schema, and every problem in it is reported at once with file,
// line, column, path and remedy. Defaults come from the schema, so that the
// schema is the one place that states a field's type, unit, range and default.
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

// MaxDepth bounds the nesting of a document.
const MaxDepth = 64

// Schema is a compiled JSON schema with its defaults.
type Schema struct {
	compiled *jsonschema.Schema
	raw      any
}

// MustCompile compiles a schema that is part of the program.
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

// Document is a parsed document that knows the place of each of its fields.
type Document struct {
	file string
	text []byte
	root hujson.Value
}

// Decode parses and checks text, fills in defaults and stores the result in
// out, a pointer to a struct. The file name is only used in problems. All
// problems are returned at once as an error made by Problems.Err.
func Decode(file string, text []byte, s *Schema, out any) (*Document, error) {
	doc := &Document{file: file, text: text}
	if depth(text) > MaxDepth {
		return nil, Problems{doc.at(0, "", "document is nested too deeply", "flatten it")}.Err()
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, Problems{doc.syntax(err)}.Err()
	}
	doc.root = root
	if ps := doc.duplicates(); len(ps) > 0 {
		return nil, ps.Err()
	}
	std := root.Clone()
	std.Standardize()
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(std.Pack()))
	if err != nil {
		return nil, Problems{doc.at(0, "", err.Error(), "correct the JSON syntax")}.Err()
	}
	if ps := doc.check(s, value); len(ps) > 0 {
		return nil, ps.Err()
	}
	full, err := json.Marshal(s.withDefaults(s.raw, value))
	if err != nil {
		return nil, errors.Wrap(err, "encode with defaults")
	}
	dec := json.NewDecoder(bytes.NewReader(full))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return nil, Problems{doc.at(0, "", err.Error(), "correct the value")}.Err()
	}
	return doc, nil
}

// Problem returns a problem at the field with the given JSON pointer.
func (d *Document) Problem(pointer, msg, remedy string) Problem {
	offset := 0
	if v := d.root.Find(pointer); v != nil {
		offset = v.StartOffset
	}
	return d.at(offset, pointer, msg, remedy)
}

func (d *Document) at(offset int, pointer, msg, remedy string) Problem {
	offset = min(max(offset, 0), len(d.text))
	before := d.text[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - bytes.LastIndexByte(before, '\n')
	return Problem{File: d.file, Line: line, Column: column, Path: pointer, Msg: msg, Remedy: remedy}
}

// syntax places a parse error, whose text starts with "hujson: line L, column C: ".
func (d *Document) syntax(err error) Problem {
	p := d.at(0, "", strings.TrimPrefix(err.Error(), "hujson: "), "correct the JSON syntax")
	place, msg, ok := strings.Cut(p.Msg, ": ")
	if !ok {
		return p
	}
	line, column, ok := strings.Cut(strings.TrimPrefix(place, "line "), ", column ")
	if !ok {
		return p
	}
	p.Line, _ = strconv.Atoi(line)
	p.Column, _ = strconv.Atoi(column)
	p.Msg = msg
	return p
}

// depth returns how deeply brackets are nested at most, counting brackets in
// strings and comments too, which errs on the safe side.
func depth(text []byte) int {
	deepest, now := 0, 0
	for _, c := range text {
		switch c {
		case '[', '{':
			now++
			deepest = max(deepest, now)
		case ']', '}':
			now--
		}
	}
	return deepest
}

// duplicates finds members of one object that have the same name.
func (d *Document) duplicates() Problems {
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
				ps = append(ps, d.at(m.Name.StartOffset, name, "field "+strconv.Quote(name)+" is given twice", "remove one of them"))
			}
			seen[name] = true
		}
	}
	return ps
}

// Pointer joins the parts of a JSON pointer.
func Pointer(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		b.WriteByte('/')
		b.WriteString(strings.NewReplacer("~", "~0", "/", "~1").Replace(p))
	}
	return b.String()
}

// ProblemsOf returns the problems in err's chain, if any.
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
