// Package engine defines the interface to model engines: the status that an engine
// reports and the orders that it accepts. Package openai holds the protocol of the
// requests. Engines with another control protocol need an adapter that implements
// Controller.
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

// OrderKind is the kind of an order.
type OrderKind string

// Kinds of orders.
const (
	// OrderFence raises the engine's fencing token and does nothing else.
	OrderFence OrderKind = "fence"
	// OrderRole changes the role. The engine is unavailable during the change.
	OrderRole OrderKind = "role"
	// OrderLoad loads a model, adapter or version.
	OrderLoad OrderKind = "load"
	// OrderReset restores the previous role of an engine whose role change is
	// incomplete.
	OrderReset OrderKind = "reset"
)

// Order is an order to an engine.
type Order struct {
	// ID makes the order idempotent: an engine carries out each ID at most once.
	ID string `json:"id"`
	// Token is the fencing token of the lease under which the order is sent.
	Token int64     `json:"token"`
	Kind  OrderKind `json:"kind"`
	Role  Role      `json:"role,omitempty"`
	Model string    `json:"model,omitempty"`
}

// Status is the status that an engine reports. Role, Changing, Token and Models are
// current. The load figures are those of the earlier instant AsOf.
type Status struct {
	Role     Role     `json:"role"`
	Changing bool     `json:"changing"`
	Token    int64    `json:"token"`
	Models   []string `json:"models"`

	AsOf time.Time `json:"asOf"`
	// Running and Waiting are numbers of requests. PrefillTokens and DecodeTokens are the
	// tokens that all of them together still have to prefill and to decode.
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	PrefillTokens int `json:"prefillTokens"`
	DecodeTokens  int `json:"decodeTokens"`
}

// Controller reads the status of the engine at an address and sends it orders.
type Controller interface {
	// Status returns the status that the engine reports.
	Status(ctx context.Context, address string) (Status, error)
	// Send sends an order. The error is of package fault. Its kind is Denied if the
	// token is outdated, Conflict if the engine is busy with another order,
	// Unavailable if no byte was sent, and Unknown if the response was lost.
	Send(ctx context.Context, address string, o Order) error
}
