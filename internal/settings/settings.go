// Package settings reads the settings of one process from a file in JSON with
// comments.
package settings

import (
	_ "embed"
	"os"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/jsonc"
)

//go:embed schema.json
var schemaText []byte

var schema = jsonc.MustCompile("settings.json", schemaText)

const maxFileBytes = 1 << 20

// SchemaText returns the JSON schema of the settings.
func SchemaText() []byte { return schemaText }

// Settings are the settings of one process. The schema in schema.json describes the meaning, unit,
// range and default of each field.
type Settings struct {
	Name     string   `json:"name"`
	Host     string   `json:"host"`
	Domain   string   `json:"domain"`
	Listen   string   `json:"listen"`
	Admin    string   `json:"admin"`
	Peer     string   `json:"peer"`
	Platform string   `json:"platform"`
	Seeds    []string `json:"seeds"`
	// MemoryMB is the memory limit of the process in MB, Descriptors the number of descriptors that it may have open. 0 means
	// the limits of the environment.
	MemoryMB      float64       `json:"memoryMB"`
	Descriptors   int           `json:"descriptors"`
	Limits        Limits        `json:"limits"`
	PlatformCalls PlatformCalls `json:"platformCalls"`
	Control       Control       `json:"control"`
	Log           Log           `json:"log"`
}

// Limits are the sizes, the number of requests and the times that one process accepts.
type Limits struct {
	BodyBytes     int64          `json:"bodyBytes"`
	HeaderBytes   int            `json:"headerBytes"`
	Requests      int            `json:"requests"`
	UrgentReserve float64        `json:"urgentReserve"`
	HeaderTimeout jsonc.Duration `json:"headerTimeout"`
	BodyTimeout   jsonc.Duration `json:"bodyTimeout"`
	StopTimeout   jsonc.Duration `json:"stopTimeout"`
	StopGrace     jsonc.Duration `json:"stopGrace"`
}

// PlatformCalls limit the calls to the object API of the platform.
type PlatformCalls struct {
	PerSecond float64        `json:"perSecond"`
	Burst     int            `json:"burst"`
	Timeout   jsonc.Duration `json:"timeout"`
}

// Control holds the times and intervals of the communication between processes.
type Control struct {
	Heartbeat  jsonc.Duration `json:"heartbeat"`
	StaleAfter jsonc.Duration `json:"staleAfter"`
	LeaseTTL   jsonc.Duration `json:"leaseTTL"`
	// ClaimWindow is how long an idempotency key is remembered.
	ClaimWindow jsonc.Duration `json:"claimWindow"`
	Report      jsonc.Duration `json:"report"`
}

// Log sets the level, the format and the content of the log.
type Log struct {
	Level     string `json:"level"`
	Format    string `json:"format"`
	Decisions bool   `json:"decisions"`
}

// Parse parses settings. file is the name used in error messages.
func Parse(file string, text []byte) (*Settings, error) {
	var s Settings
	if _, err := jsonc.Decode(file, text, schema, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Load reads settings from a file.
func Load(file string) (*Settings, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// readFile returns the text of a settings file of at most maxFileBytes.
func readFile(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "settings cannot be read", "give the path of a settings file with --settings")
	}
	if info.Size() > maxFileBytes {
		return nil, fault.Newf(fault.Invalid, "shorten it", "settings file %s has %d bytes, the limit is %d", file, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "settings cannot be read", "check the file's permissions")
	}
	return text, nil
}
