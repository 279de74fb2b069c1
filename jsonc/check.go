package jsonc

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/tailscale/hujson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// validate validates value against the schema and returns all problems with their
// positions.
func (d *Document) validate(s *Schema, value any) Problems {
	err := s.compiled.Validate(value)
	if err == nil {
		return nil
	}
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return Problems{d.problemAt(0, "", err.Error(), "correct the document")}
	}
	var ps Problems
	d.collectLeaves(ve, s, &ps)
	return ps
}

// collectLeaves appends a problem for each leaf of a validation error to ps.
func (d *Document) collectLeaves(ve *jsonschema.ValidationError, s *Schema, ps *Problems) {
	for _, c := range ve.Causes {
		d.collectLeaves(c, s, ps)
	}
	if len(ve.Causes) > 0 {
		return
	}
	pointer := Pointer(ve.InstanceLocation...)
	if k, ok := ve.ErrorKind.(*kind.AdditionalProperties); ok {
		known := s.fieldNames(ve.InstanceLocation)
		for _, name := range k.Properties {
			*ps = append(*ps, d.unknownField(pointer, name, known))
		}
		return
	}
	msg, remedy := explain(ve.ErrorKind)
	*ps = append(*ps, d.Problem(pointer, msg, remedy))
}

func (d *Document) unknownField(parent, name string, known []string) Problem {
	offset := 0
	if v := d.root.Find(parent); v != nil {
		if obj, ok := v.Value.(*hujson.Object); ok {
			offset = nameOffset(obj, name)
		}
	}
	remedy := "remove it; the valid fields here are " + strings.Join(known, ", ")
	if near := closestName(name, known); near != "" {
		remedy = "did you mean " + strconv.Quote(near) + "?"
	}
	return d.problemAt(offset, parent+Pointer(name), "unknown field "+strconv.Quote(name), remedy)
}

func nameOffset(obj *hujson.Object, name string) int {
	for _, m := range obj.Members {
		if m.Name.Value.(hujson.Literal).String() == name {
			return m.Name.StartOffset
		}
	}
	return 0
}

// explain returns the message and the remedy for a kind of validation error.
func explain(k jsonschema.ErrorKind) (msg, remedy string) {
	switch k := k.(type) {
	case *kind.Type:
		return "value has type " + k.Got, "use type " + strings.Join(k.Want, " or ")
	case *kind.Required:
		return "field " + strings.Join(k.Missing, ", ") + " is missing", "add it"
	case *kind.Enum:
		return fmt.Sprintf("value %q is not known", fmt.Sprint(k.Got)), "use one of " + quotedList(k.Want)
	case *kind.Pattern:
		return fmt.Sprintf("value %q has the wrong form", k.Got), "use a value that matches " + k.Want
	case *kind.Minimum:
		return "value " + k.Got.RatString() + " is too small", "use at least " + k.Want.RatString()
	case *kind.Maximum:
		return "value " + k.Got.RatString() + " is too large", "use at most " + k.Want.RatString()
	case *kind.MinLength:
		return "value is empty or too short", fmt.Sprintf("use at least %d character(s)", k.Want)
	case *kind.MinItems:
		return "list is too short", fmt.Sprintf("use at least %d item(s)", k.Want)
	}
	return k.LocalizedString(message.NewPrinter(language.English)), "correct the value"
}

func quotedList(values []any) string {
	words := make([]string, len(values))
	for i, v := range values {
		words[i] = fmt.Sprintf("%q", fmt.Sprint(v))
	}
	return strings.Join(words, ", ")
}

// closestName returns the known name with the smallest edit distance to name, or ""
// if that distance is above two. Case is ignored.
func closestName(name string, known []string) string {
	best, bestDistance := "", 3
	for _, k := range known {
		if n := editDistance(strings.ToLower(name), strings.ToLower(k)); n < bestDistance {
			best, bestDistance = k, n
		}
	}
	return best
}

func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}

// object is a decoded JSON object, in a schema or a document.
type object = map[string]any

// resolve returns the schema node as an object, after following references of the
// form #/$defs/NAME.
func (s *Schema) resolve(node any) object {
	o, _ := node.(object)
	for o != nil {
		ref, ok := o["$ref"].(string)
		if !ok {
			return o
		}
		root, _ := s.raw.(object)
		defs, _ := root["$defs"].(object)
		o, _ = defs[strings.TrimPrefix(ref, "#/$defs/")].(object)
	}
	return nil
}

// fieldNames returns the sorted names of the fields that the schema defines at a
// location.
func (s *Schema) fieldNames(location []string) []string {
	node := s.resolve(s.raw)
	for _, part := range location {
		props, _ := node["properties"].(object)
		switch next, ok := props[part]; {
		case ok:
			node = s.resolve(next)
		case node["items"] != nil:
			node = s.resolve(node["items"])
		default:
			node = s.resolve(node["additionalProperties"])
		}
	}
	props, _ := node["properties"].(object)
	names := make([]string, 0, len(props))
	for name := range props {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// withDefaults returns value with the schema's defaults for absent fields.
func (s *Schema) withDefaults(node, value any) any {
	schema := s.resolve(node)
	switch v := value.(type) {
	case object:
		props, _ := schema["properties"].(object)
		for name, p := range props {
			if child, ok := v[name]; ok {
				v[name] = s.withDefaults(p, child)
			} else if def, ok := s.defaultOf(p); ok {
				v[name] = s.withDefaults(p, clone(def))
			}
		}
	case []any:
		for i := range v {
			v[i] = s.withDefaults(schema["items"], v[i])
		}
	}
	return value
}

// defaultOf returns the default of a field. The default may be next to a reference
// or in the definition that the reference points to.
func (s *Schema) defaultOf(node any) (any, bool) {
	if o, ok := node.(object); ok {
		if def, ok := o["default"]; ok {
			return def, true
		}
	}
	def, ok := s.resolve(node)["default"]
	return def, ok
}

func clone(v any) any {
	switch v := v.(type) {
	case object:
		out := object{}
		for k, c := range v {
			out[k] = clone(c)
		}
		return out
	case []any:
		out := make([]any, len(v))
		for i, c := range v {
			out[i] = clone(c)
		}
		return out
	}
	return v
}
