package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/internal/settings"
)

// schemaNode holds the fields of a JSON schema that appear in the reference.
type schemaNode struct {
	Title       string                `json:"title"`
	Description string                `json:"description"`
	Type        string                `json:"type"`
	Ref         string                `json:"$ref"`
	Default     json.RawMessage       `json:"default"`
	Enum        []string              `json:"enum"`
	Minimum     *float64              `json:"minimum"`
	Maximum     *float64              `json:"maximum"`
	Pattern     string                `json:"pattern"`
	Required    []string              `json:"required"`
	Properties  map[string]schemaNode `json:"properties"`
	Items       *schemaNode           `json:"items"`
	Defs        map[string]schemaNode `json:"$defs"`
}

// WriteReference writes the reference of all settings and configuration fields in
// Markdown.
func WriteReference(w io.Writer) error {
	fmt.Fprint(w, "# Configuration reference\n\nMade from the schemas that check the files; do not edit. "+
		"All files are JSON with comments and trailing commas. `rockdoor config schema` prints the schema for editors.\n")
	for _, text := range [][]byte{settings.SchemaText(), settings.GatewaySchemaText(), config.SchemaText()} {
		var root schemaNode
		if err := json.Unmarshal(text, &root); err != nil {
			return err
		}
		fmt.Fprintf(w, "\n## %s\n\n%s\n", root.Title, root.Description)
		root.writeFields(w, root, root.Title)
		for _, name := range slices.Sorted(maps.Keys(root.Defs)) {
			if def := root.Defs[name]; def.Type == "object" && len(def.Properties) > 0 {
				root.writeFields(w, def, name)
			}
		}
	}
	return nil
}

// writeFields writes a table of the fields of one object.
func (root schemaNode) writeFields(w io.Writer, node schemaNode, name string) {
	fmt.Fprintf(w, "\n### %s\n\n| field | type | range | default | meaning |\n| --- | --- | --- | --- | --- |\n", name)
	for _, field := range slices.Sorted(maps.Keys(node.Properties)) {
		p := node.Properties[field]
		def := "`" + string(p.Default) + "`"
		switch {
		case slices.Contains(node.Required, field):
			def = "required"
		case len(p.Default) == 0:
			def = ""
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s |\n", field, root.typeOf(p), root.rangeOf(p), def, p.Description)
	}
}

func (root schemaNode) resolve(p schemaNode) (schemaNode, string) {
	if name, ok := strings.CutPrefix(p.Ref, "#/$defs/"); ok {
		return root.Defs[name], name
	}
	return p, ""
}

func (root schemaNode) typeOf(p schemaNode) string {
	if p.Items != nil {
		return "list of " + root.typeOf(*p.Items)
	}
	def, name := root.resolve(p)
	if name != "" && (def.Type == "object" || name == "duration" || name == "address" || name == "selector" || name == "name") {
		return name
	}
	return def.Type
}

func (root schemaNode) rangeOf(p schemaNode) string {
	def, _ := root.resolve(p)
	switch {
	case len(def.Enum) > 0:
		quoted := make([]string, len(def.Enum))
		for i, v := range def.Enum {
			quoted[i] = fmt.Sprintf("`%q`", v)
		}
		return strings.Join(quoted, ", ")
	case def.Minimum != nil && def.Maximum != nil:
		return fmt.Sprintf("%g to %.0f", *def.Minimum, *def.Maximum)
	}
	return ""
}

// WriteCharts writes the state charts as Markdown with Mermaid diagrams.
func WriteCharts(w io.Writer) {
	fmt.Fprint(w, "# State charts\n\nMade from the files that the program interprets (internal/charts); do not edit. "+
		"Events that a state ignores are left out.\n")
	for _, c := range charts.All {
		def := c.Definition()
		fmt.Fprintf(w, "\n## %s\n\n%s\n\n```mermaid\nstateDiagram-v2\n  [*] --> %s\n", def.Name, def.Doc, def.Initial)
		names := slices.Sorted(maps.Keys(def.States))
		for _, name := range names {
			s := def.States[name]
			for _, e := range slices.Sorted(maps.Keys(s.On)) {
				label := string(e)
				if e == s.TimeoutEvent {
					label += fmt.Sprintf(" (or after %s)", s.Timeout.Std())
				}
				fmt.Fprintf(w, "  %s --> %s: %s\n", name, s.On[e], label)
			}
			if s.Final {
				fmt.Fprintf(w, "  %s --> [*]\n", name)
			}
		}
		fmt.Fprint(w, "```\n\n| state | meaning |\n| --- | --- |\n")
		for _, name := range names {
			fmt.Fprintf(w, "| %s | %s |\n", name, def.States[name].Doc)
		}
	}
}
