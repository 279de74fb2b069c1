// Package config defines the configuration of a deployment: hosts, pools,
// engines, models, services, routes and workspaces. It reads it from JSON with
// comments, checks it as a whole and compiles it for fast lookup.
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

// Config is the whole configuration. The schema in schema.json states each
// field's meaning, unit, range and default.
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

// Roles says when engines change role.
type Roles struct {
	Policy        string         `json:"policy"`
	GoodputWeight float64        `json:"goodputWeight"`
	ChangeWeight  float64        `json:"changeWeight"`
	MinDwell      jsonc.Duration `json:"minDwell"`
	ChangeTimeout jsonc.Duration `json:"changeTimeout"`
}

// ServerState is what the operator wants of an engine or backend server.
type ServerState string

// Server states.
const (
	// Active servers take requests.
	Active ServerState = "active"
	// Draining servers finish what they have and take nothing new.
	Draining ServerState = "draining"
	// Withdrawn servers take neither requests nor orders.
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

// Priority orders requests; urgent ones go first.
type Priority string

// Priorities.
const (
	Urgent Priority = "urgent"
	Normal Priority = "normal"
	Batch  Priority = "batch"
)

// Model is a model that callers may name.
type Model struct {
	Name       string         `json:"name"`
	Pool       string         `json:"pool"`
	Selector   string         `json:"selector"`
	Idempotent bool           `json:"idempotent"`
	Priority   Priority       `json:"priority"`
	Timeout    jsonc.Duration `json:"timeout"`
}

// Service is a plain service.
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

// Route leads paths to a service.
type Route struct {
	Path       string         `json:"path"`
	Methods    []string       `json:"methods"`
	Service    string         `json:"service"`
	Idempotent bool           `json:"idempotent"`
	Priority   Priority       `json:"priority"`
	Timeout    jsonc.Duration `json:"timeout"`
	Selector   string         `json:"selector"`
}

// Workspace is a customer.
type Workspace struct {
	Name              string   `json:"name"`
	Keys              []string `json:"keys"`
	Selector          string   `json:"selector"`
	EntrySelector     string   `json:"entrySelector"`
	RequestsPerSecond float64  `json:"requestsPerSecond"`
	Concurrency       int      `json:"concurrency"`
	Weight            float64  `json:"weight"`
}

// Parse reads, checks and compiles a configuration. All problems are reported
// at once; see jsonc.ProblemsOf.
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
