// Package config defines the configuration of a deployment: hosts, pools,
// engines, models, services, routes and workspaces. It parses a configuration
// from JSON with comments, validates it as a whole and compiles it into the form
// that routing uses.
package config

import (
	_ "embed"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/jsonc"
	"github.com/rockdoor/rockdoor/selector"
)

//go:embed schema.json
var schemaText []byte

var schema = jsonc.MustCompile("configuration.json", schemaText)

// SchemaText returns the JSON schema of the configuration.
func SchemaText() []byte { return schemaText }

// Config is a complete configuration. The schema in schema.json states the
// meaning, unit, range and default of each field.
type Config struct {
	Hosts      []Host      `json:"hosts"`
	Pools      []Pool      `json:"pools"`
	Engines    []Engine    `json:"engines"`
	Models     []Model     `json:"models"`
	Services   []Service   `json:"services"`
	Routes     []Route     `json:"routes"`
	Workspaces []Workspace `json:"workspaces"`
}

// Host is a machine that runs engines, backend servers or rockdoor.
type Host struct {
	Name   string          `json:"name"`
	Domain string          `json:"domain"`
	Labels selector.Labels `json:"labels"`
}

// Pool is a group of engines that serve the same models.
type Pool struct {
	Name     string `json:"name"`
	Selector string `json:"selector"`
	Policy   string `json:"policy"`
	Roles    Roles  `json:"roles"`
}

// Roles configures when the engines of a pool change role.
type Roles struct {
	Policy        string         `json:"policy"`
	GoodputWeight float64        `json:"goodputWeight"`
	ChangeWeight  float64        `json:"changeWeight"`
	MinDwell      jsonc.Duration `json:"minDwell"`
	ChangeTimeout jsonc.Duration `json:"changeTimeout"`
}

// ServerState is the operational state that the operator sets for an engine or
// backend server.
type ServerState string

// Server states.
const (
	// Active servers receive requests.
	Active ServerState = "active"
	// Draining servers finish the requests in flight and receive no new ones.
	Draining ServerState = "draining"
	// Withdrawn servers receive neither requests nor orders.
	Withdrawn ServerState = "withdrawn"
)

// Engine is one model server.
type Engine struct {
	Name     string          `json:"name"`
	Pool     string          `json:"pool"`
	Host     string          `json:"host"`
	Address  string          `json:"address"`
	Labels   selector.Labels `json:"labels"`
	Role     engine.Role     `json:"role"`
	State    ServerState     `json:"state"`
	Fencing  bool            `json:"fencing"`
	Capacity int             `json:"capacity"`
}

// Priority is the scheduling priority of a request.
type Priority string

// Priorities, the highest first.
const (
	Urgent Priority = "urgent"
	Normal Priority = "normal"
	Batch  Priority = "batch"
)

// Model is a model that clients may request by name.
type Model struct {
	Name       string         `json:"name"`
	Pool       string         `json:"pool"`
	Selector   string         `json:"selector"`
	Idempotent bool           `json:"idempotent"`
	Priority   Priority       `json:"priority"`
	Timeout    jsonc.Duration `json:"timeout"`
}

// Service is a group of backend servers that routes refer to.
type Service struct {
	Name     string   `json:"name"`
	Selector string   `json:"selector"`
	Servers  []Server `json:"servers"`
}

// Server is one backend server of a service.
type Server struct {
	Name     string          `json:"name"`
	Host     string          `json:"host"`
	Address  string          `json:"address"`
	Labels   selector.Labels `json:"labels"`
	State    ServerState     `json:"state"`
	Capacity int             `json:"capacity"`
}

// Route sends requests whose path starts with Path to a service.
type Route struct {
	Path       string         `json:"path"`
	Methods    []string       `json:"methods"`
	Service    string         `json:"service"`
	Idempotent bool           `json:"idempotent"`
	Priority   Priority       `json:"priority"`
	Timeout    jsonc.Duration `json:"timeout"`
	Selector   string         `json:"selector"`
}

// Workspace is the unit that API keys, limits, a weight and placement rules belong to.
type Workspace struct {
	Name              string   `json:"name"`
	Keys              []string `json:"keys"`
	Selector          string   `json:"selector"`
	EntrySelector     string   `json:"entrySelector"`
	RequestsPerSecond float64  `json:"requestsPerSecond"`
	Concurrency       int      `json:"concurrency"`
	Weight            float64  `json:"weight"`
}

// Parse decodes, validates and compiles a configuration. All problems are
// returned in one error; see jsonc.ProblemsOf.
func Parse(file string, text []byte) (*Config, *Compiled, error) {
	var c Config
	doc, err := jsonc.Decode(file, text, schema, &c)
	if err != nil {
		return nil, nil, err
	}
	compiled, ps := compile(&c, doc)
	if err := ps.Err(); err != nil {
		return nil, nil, err
	}
	return &c, compiled, nil
}
