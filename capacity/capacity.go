// Package capacity decides how many engines of a service to have in each failure domain, and
// how many of them as spot engines, which cost a part of the price and which the platform may
// take away, all of a failure domain's at once. It decides from what is observed and does
// nothing itself.
package capacity

import (
	"context"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fleet"
)

// Order asks for a number of engines of one kind in one failure domain.
type Order struct {
	Service string
	Domain  string
	// Engines is how many there are to be, not how many more.
	Engines int
	Spot    bool
}

// Orderer gives orders to the platform.
type Orderer interface {
	// Order gives an order. The error is of kind Exhausted if there are no engines to be had
	// in the failure domain now.
	Order(ctx context.Context, g duty.Grant, o Order) error
}

// Domain is what a service has in one failure domain.
type Domain struct {
	Name string
	// Price is that of one engine.
	Price float64
	// Lasting and Spot are the engines that serve.
	Lasting, Spot int
}

// Input is what is decided by.
type Input struct {
	Scaling *fleet.Scaling
	// Domains are those in which engines may be ordered.
	Domains []Domain
}

// Target is how many engines there are to be in one failure domain.
type Target struct{ Lasting, Spot int }
