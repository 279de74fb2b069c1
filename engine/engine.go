// Package engine defines the narrow interface to model engines: the status that
// an engine reports and the orders that it takes. Package openai is the
// protocol of the requests. An adapter for engines with another control
// protocol implements Controller in one file.
package engine

import (
	"context"
	"time"
)

// Role says which phases of a request an engine runs.
type Role string

// Roles of an engine.
const (
	// RoleMixed runs prefill and decode.
	RoleMixed Role = "mixed"
	// RolePrefill runs prefill and exports the KV cache.
	RolePrefill Role = "prefill"
	// RoleDecode imports a KV cache and runs decode.
	RoleDecode Role = "decode"
)

// OrderKind names what an order asks for.
type OrderKind string

// Kinds of orders.
const (
	// OrderFence only raises the engine's fencing token.
	OrderFence OrderKind = "fence"
	// OrderRole changes the role; the engine is unavailable meanwhile.
	OrderRole OrderKind = "role"
	// OrderLoad loads a model, adapter or version.
	OrderLoad OrderKind = "load"
	// OrderReset brings a half-changed engine back to the role it had.
	OrderReset OrderKind = "reset"
)

// Order is one order to an engine.
type Order struct {
	// ID makes the order idempotent: an engine runs each id at most once.
	ID string `json:"id"`
	// Token is the fencing token of the lease under which the order is given.
	Token int64     `json:"token"`
	Kind  OrderKind `json:"kind"`
	Role  Role      `json:"role,omitempty"`
	Model string    `json:"model,omitempty"`
}

// Status is what an engine reports about itself. Role, Changing, Token and
// Models are current; the load figures are as of AsOf, which lags.
type Status struct {
	Role     Role     `json:"role"`
	Changing bool     `json:"changing"`
	Token    int64    `json:"token"`
	Models   []string `json:"models"`

	AsOf          time.Time `json:"asOf"`
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	PrefillTokens int       `json:"prefillTokens"`
	DecodeTokens  int       `json:"decodeTokens"`
}

// Controller gives orders to the engine at an address.
type Controller interface {
	// Status returns the engine's own report.
	Status(ctx context.Context, address string) (Status, error)
	// Give sends an order. The error is of package fault: Denied if the token
	// is old, Conflict if the engine is busy with another order, Unavailable if
	// no byte was sent, Unknown if the answer was lost.
	Give(ctx context.Context, address string, o Order) error
}
