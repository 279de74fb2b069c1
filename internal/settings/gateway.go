package settings

import (
	_ "embed"
	"slices"
	"strings"
	"time"

	"github.com/rockdoor/rockdoor/jsonc"
)

//go:embed gateway.json
var gatewayText []byte

var gatewaySchema = jsonc.MustCompile("gateway.json", gatewayText)

// GatewaySchemaText returns the JSON schema of the settings of a gateway.
func GatewaySchemaText() []byte { return gatewayText }

// Gateway holds the settings of one gateway process. The schema in gateway.json
// states each field's meaning, unit, range and default.
type Gateway struct {
	Name      string `json:"name"`
	Domain    string `json:"domain"`
	Listen    string `json:"listen"`
	Readiness string `json:"readiness"`
	Metrics   string `json:"metrics"`
	Peer      string `json:"peer"`
	Store     string `json:"store"`
	// RolePolicy is a name of package roles.
	RolePolicy string  `json:"rolePolicy"`
	MemoryMB   float64 `json:"memoryMB"`
	// Weight is how much work the process can take on for others, in shares of a core.
	Weight float64    `json:"weight"`
	Bounds Bounds     `json:"bounds"`
	Duties Duties     `json:"duties"`
	Log    GatewayLog `json:"log"`
}

// AtNextStart reports whether something has changed since before that a running process
// does not take over.
func (g *Gateway) AtNextStart(before *Gateway) bool {
	now, old := *g, *before
	now.MemoryMB = old.MemoryMB
	now.Bounds.Grace, now.Bounds.Notice = old.Bounds.Grace, old.Bounds.Notice
	now.Bounds.RetryRatio, now.Bounds.RetrySlack = old.Bounds.RetryRatio, old.Bounds.RetrySlack
	return now != old
}

// Bounds are what the deployment demands.
type Bounds struct {
	Apply       jsonc.Duration `json:"apply"`
	Settle      jsonc.Duration `json:"settle"`
	Drain       jsonc.Duration `json:"drain"`
	Grace       jsonc.Duration `json:"grace"`
	Notice      jsonc.Duration `json:"notice"`
	RetryRatio  float64        `json:"retryRatio"`
	RetrySlack  float64        `json:"retrySlack"`
	RetryWindow jsonc.Duration `json:"retryWindow"`
	Lease       jsonc.Duration `json:"lease"`
	// Revoke is 0 where no key is ever taken away.
	Revoke jsonc.Duration `json:"revoke"`
}

// proofMargin is kept from the time after which a key that was taken away must not be used,
// for what passes between the check of a request and its first byte to an instance.
const proofMargin = 300 * time.Millisecond

// MaxProofAge returns how old the proof may be that the configuration is the newest one,
// for a request with a key to run; 0 is no bound.
func (b *Bounds) MaxProofAge() time.Duration {
	if b.Revoke == 0 {
		return 0
	}
	return max(b.Revoke.Std()-proofMargin, b.Revoke.Std()/2)
}

// Within returns in what time a change in the store must have reached all processes.
func (b *Bounds) Within() time.Duration { return min(b.Apply.Std(), b.Drain.Std()) }

// Duties are what one process at a time does for the whole deployment, besides orders to
// engines.
type Duties struct {
	// Address is that of the platform's API, empty if there is none.
	Address string `json:"address"`
	// Kinds are the names of the duties, separated by commas.
	Kinds string `json:"kinds"`
	// UsageWindow is the length of the windows in which usage is reported, UsageDue when
	// after its end a window must have been reported.
	UsageWindow jsonc.Duration `json:"usageWindow"`
	UsageDue    jsonc.Duration `json:"usageDue"`
}

// Has reports whether a duty is among those of the deployment.
func (d *Duties) Has(name string) bool {
	return d.Address != "" && slices.Contains(strings.Split(d.Kinds, ","), name)
}

// GatewayLog says what a gateway logs.
type GatewayLog struct {
	Level          string `json:"level"`
	LinesPerSecond int    `json:"linesPerSecond"`
}

// ParseGateway reads the settings of a gateway from text.
func ParseGateway(file string, text []byte) (*Gateway, error) {
	var g Gateway
	if _, err := jsonc.Decode(file, text, gatewaySchema, &g); err != nil {
		return nil, err
	}
	return &g, nil
}

// LoadGateway reads the settings of a gateway from a file.
func LoadGateway(file string) (*Gateway, error) {
	text, err := read(file)
	if err != nil {
		return nil, err
	}
	return ParseGateway(file, text)
}
