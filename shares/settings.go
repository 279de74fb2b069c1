package shares

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"slices"

	"github.com/rockdoor/rockdoor/fault"
)

const (
	minWeight = 0.01
	maxWeight = 100.0
	// maxSettings bounds the number of workspaces with settings of their own; the object must fit into
	// one message of the store.
	maxSettings = 10_000
)

// Setting is the operator's setting for one workspace.
type Setting struct {
	// Weight is the weight of the workspace; that of others is 1.
	Weight float64 `json:"weight,omitempty"`
	// Floor and Cap are the least and the greatest part of a service's engine time that the workspace
	// gets while there is too little of it, if it asks for it.
	Floor float64 `json:"floor,omitempty"`
	Cap   float64 `json:"cap,omitempty"`
}

// Settings are the operator's settings of workspaces. A nil Settings has none.
type Settings struct {
	Workspaces map[string]Setting `json:"workspaces"`
}

// of returns the setting of a workspace with defaults for what isn't stated.
func (s *Settings) of(workspace string) Setting {
	out := Setting{Weight: 1, Cap: 1}
	if s == nil {
		return out
	}
	w := s.Workspaces[workspace]
	if w.Weight > 0 {
		out.Weight = w.Weight
	}
	if w.Cap > 0 {
		out.Cap = w.Cap
	}
	out.Floor = w.Floor
	return out
}

// Parse decodes and validates stored settings. Unknown fields are ignored, since a newer version may
// have written them. Errors have the kind Invalid.
func Parse(text []byte) (*Settings, error) { return parse(json.NewDecoder(bytes.NewReader(text))) }

// ParseStrict is Parse for the text of an operator, who may have misspelled a field.
func ParseStrict(text []byte) (*Settings, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	return parse(dec)
}

func parse(dec *json.Decoder) (*Settings, error) {
	s := &Settings{}
	if err := dec.Decode(s); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "shares cannot be read", `give {"workspaces": {"NAME": {"weight": 2, "floor": 0.1, "cap": 0.5}}}`)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, fault.New(fault.Invalid, "shares have text after their end", "give one object")
	}
	return s, s.validate()
}

// validate reports settings that can't hold together.
func (s *Settings) validate() error {
	if len(s.Workspaces) > maxSettings {
		return fault.Newf(fault.Invalid, "name only the workspaces that differ from the others", "shares of more than %d workspaces", maxSettings)
	}
	names := make([]string, 0, len(s.Workspaces))
	for name := range s.Workspaces {
		names = append(names, name)
	}
	slices.Sort(names)
	floors := 0.0
	for _, name := range names {
		w := s.Workspaces[name]
		if err := w.validate(name); err != nil {
			return err
		}
		floors += w.Floor
	}
	const rounding = 1e-9
	if floors > 1+rounding {
		return fault.Newf(fault.Invalid, "lower some of them", "the floors add up to %.4g, more than all engine time", floors)
	}
	return nil
}

func (w Setting) validate(name string) error {
	limit := w.Cap
	if limit == 0 {
		limit = 1
	}
	switch {
	case name == "":
		return fault.New(fault.Invalid, "a workspace has no name", "give the name that the configuration has")
	case w.Weight != 0 && !(w.Weight >= minWeight && w.Weight <= maxWeight):
		return fault.Newf(fault.Invalid, "give a weight from 0.01 to 100, or none for 1", "workspace %s has the weight %g", name, w.Weight)
	case math.IsNaN(w.Floor) || w.Floor < 0 || w.Floor > 1:
		return fault.Newf(fault.Invalid, "give a part of the engine time, from 0 to 1", "workspace %s has the floor %g", name, w.Floor)
	case !(limit > 0 && limit <= 1):
		return fault.Newf(fault.Invalid, "give a part of the engine time, above 0 and up to 1", "workspace %s has the cap %g", name, w.Cap)
	case w.Floor > limit:
		return fault.Newf(fault.Invalid, "lower the floor or raise the cap", "workspace %s has the floor %g above its cap %g", name, w.Floor, limit)
	}
	return nil
}
