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

// GatewaySchemaText returns the JSON schema of the gateway settings.
func GatewaySchemaText() []byte { return gatewayText }

// Gateway holds the settings of one gateway process. The schema in gateway.json describes the meaning,
// unit, range and default of each field.
type Gateway struct {
	Name      string `json:"name"`
	Domain    string `json:"domain"`
	Listen    string `json:"listen"`
	Readiness string `json:"readiness"`
	Metrics   string `json:"metrics"`
	Peer      string `json:"peer"`
	Store     string `json:"store"`
	// RolePolicy is the name of a policy of package roles.
	RolePolicy string  `json:"rolePolicy"`
	MemoryMB   float64 `json:"memoryMB"`
	// Descriptors is the number of descriptors that the process may have open, 0 for the limit of the system.
	Descriptors int `json:"descriptors"`
	// Weight is how much scheduling work the process can do for others, as a share of a CPU core.
	Weight float64 `json:"weight"`
	Bounds Bounds  `json:"bounds"`
	Duties Duties  `json:"duties"`
	// Scheduling enables optional mechanisms of placement and of the duties.
	Scheduling Scheduling `json:"scheduling"`
	Log        GatewayLog `json:"log"`
}

// NeedsRestart reports whether a setting differs from before that takes effect only when the process
// starts.
func (g *Gateway) NeedsRestart(before *Gateway) bool {
	now, old := *g, *before
	now.MemoryMB = old.MemoryMB
	now.Bounds.Grace, now.Bounds.Notice = old.Bounds.Grace, old.Bounds.Notice
	now.Bounds.RetryRatio, now.Bounds.RetrySlack = old.Bounds.RetryRatio, old.Bounds.RetrySlack
	return now != old
}

// Bounds are the limits that the deployment requires a gateway to keep.
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
	// Revoke is the time after which a revoked API key must not be accepted, 0 if there is no such
	// limit.
	Revoke jsonc.Duration `json:"revoke"`
}

// revokeMargin is subtracted from the time after which a revoked key must not be accepted. It covers the
// time between the check of a request and its first byte to an instance.
const revokeMargin = 300 * time.Millisecond

// MaxConfigStaleness returns how long ago the configuration may last have been known to be the newest
// one for a request with a key to run; 0 means no limit.
func (b *Bounds) MaxConfigStaleness() time.Duration {
	if b.Revoke == 0 {
		return 0
	}
	return max(b.Revoke.Std()-revokeMargin, b.Revoke.Std()/2)
}

// PropagationLimit returns the time in which a change in the store must reach all processes.
func (b *Bounds) PropagationLimit() time.Duration { return min(b.Apply.Std(), b.Drain.Std()) }

// Duties are the tasks that one process at a time performs for the whole deployment, besides sending
// orders to engines.
type Duties struct {
	// Address is the address of the platform's API, empty if there is none.
	Address string `json:"address"`
	// Kinds are the names of the duties, separated by commas.
	Kinds string `json:"kinds"`
	// UsageWindow is the length of the windows in which usage is reported, UsageDue the time after
	// the end of a window in which it must have been reported.
	UsageWindow jsonc.Duration `json:"usageWindow"`
	UsageDue    jsonc.Duration `json:"usageDue"`
}

// Has reports whether the deployment has the duty with the given name.
func (d *Duties) Has(name string) bool {
	return d.Address != "" && slices.Contains(strings.Split(d.Kinds, ","), name)
}

// Scheduling enables optional mechanisms. With Auto, a mechanism takes effect for the services whose
// configuration calls for it.
type Scheduling struct {
	WholeRequests   string `json:"wholeRequests"`
	EngineProfiles  string `json:"engineProfiles"`
	WorkspaceShares string `json:"workspaceShares"`
	// HungAttempts says what happens to attempts that hang.
	HungAttempts string `json:"hungAttempts"`
	// EngineOrders is OrdersByLimits or OrdersByDemand.
	EngineOrders string `json:"engineOrders"`
}

// Values of the settings in Scheduling.
const (
	Auto           = "auto"
	OrdersByLimits = "limits"
	OrdersByDemand = "demand"
)

// GatewayLog sets the level and the rate limit of a gateway's log.
type GatewayLog struct {
	Level          string `json:"level"`
	LinesPerSecond int    `json:"linesPerSecond"`
}

// ParseGateway parses the settings of a gateway. file is the name used in error messages.
func ParseGateway(file string, text []byte) (*Gateway, error) {
	var g Gateway
	if _, err := jsonc.Decode(file, text, gatewaySchema, &g); err != nil {
		return nil, err
	}
	return &g, nil
}

// LoadGateway reads the settings of a gateway from a file.
func LoadGateway(file string) (*Gateway, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseGateway(file, text)
}
