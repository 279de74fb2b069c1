// Package capacity decides how many on-demand and how many spot engines a service should have in
// each failure domain. Spot engines cost a fraction of the price, but the platform may reclaim all
// spot engines of a failure domain at once. The package only decides; it sends no orders.
package capacity

import (
	"context"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fleet"
)

// Order requests a number of engines of one kind in one failure domain.
type Order struct {
	Service string
	Domain  string
	// Engines is the total that should exist, not an increment.
	Engines int
	Spot    bool
}

// Orderer sends orders to the platform.
type Orderer interface {
	// Order sends an order. The error has the kind Exhausted if the failure domain has no engines
	// available at present.
	Order(ctx context.Context, g duty.Grant, o Order) error
}

// Domain describes a service's engines in one failure domain.
type Domain struct {
	Name string
	// Price is the price of one on-demand engine.
	Price float64
	// OnDemand and Spot count the engines that serve.
	OnDemand, Spot int
	// Exhausted is true if the platform had no spot engines available when they were last ordered.
	Exhausted bool
}

// Input is the state that a decision is based on.
type Input struct {
	Scaling *fleet.Scaling
	// Domains are the failure domains in which engines may be ordered.
	Domains []Domain
}

// Target is the number of engines that one failure domain should have.
type Target struct{ OnDemand, Spot int }
