package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// sight is what one request showed of the configuration in force at a process.
type sight struct {
	call *Call
	// versions are the configurations, by number, that allow what was seen, in order.
	versions []int
	// from and to are between when the process looked at its configuration.
	from, to time.Time
}

// sights returns what all requests showed.
func (c *checker) sights() []sight {
	var out []sight
	for _, call := range c.f.Calls {
		switch call.Kind {
		case Mark:
			for _, a := range c.arrivals[call.ID] {
				service := c.meant(a)
				out = append(out, c.sight(call, a.At, func(index int) bool { return markService(index) == service }))
			}
		case Only:
			var first int
			if _, err := fmt.Sscanf(strings.TrimPrefix(call.Path, "/"+string(Only)+"-"), "%d/", &first); err != nil {
				continue // unreachable: the path is made by the caller
			}
			there := func(index int) bool { return index >= first && index < first+onlyVersions }
			for _, a := range c.arrivals[call.ID] {
				out = append(out, c.sight(call, a.At, there))
			}
			if call.Status == http.StatusNotFound {
				out = append(out, c.sight(call, call.Ended, func(index int) bool { return !there(index) }))
			}
		}
	}
	return out
}

// meant returns the service that a request was sent to: that of the instance it names, since
// another one may run at the address by now and answers 421.
func (c *checker) meant(a *Arrival) string {
	if named := c.o.Layout.serviceOf(a.Meant); named != "" {
		return named
	}
	return a.Service
}

// sight returns what was seen up to a time, among the configurations that had been sent then.
func (c *checker) sight(call *Call, to time.Time, allows func(index int) bool) sight {
	s := sight{call: call, from: call.Sent, to: to}
	for _, a := range c.f.Applied {
		if !a.Sent.After(to) && allows(a.Index) {
			s.versions = append(s.versions, a.Index)
		}
	}
	slices.Sort(s.versions)
	return s
}

// configurationInForce: processes in touch know a configuration within the bound.
func (c *checker) configurationInForce() Promise {
	p := Promise{Name: "processes in touch have a configuration in force within the bound"}
	for _, s := range c.sights() {
		if !c.inTouch(s.call.Gateway, s.to) || !c.inTouch(s.call.Gateway, s.from) {
			continue
		}
		p.Cases++
		newest := 0
		for _, a := range c.f.Applied {
			if !a.Done.Add(c.o.Bounds.Apply).After(s.from) {
				newest = max(newest, a.Index)
			}
		}
		if len(s.versions) == 0 || s.versions[len(s.versions)-1] < newest {
			p.breach(s.call.ID, "%s: %s at %s shows one of the configurations %v, %d is in force", s.call.ID, s.call.Path, gatewayName(s.call.Gateway), s.versions, newest)
		}
	}
	return p
}

// configModel is a process's configuration: each look at it shows one of some versions, and
// it never goes back.
var configModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, _ any) []any {
		var out []any
		for _, v := range input.([]int) {
			if v >= state.(int) {
				out = append(out, v)
			}
		}
		return out
	},
}).ToModel()

// historyTimeout bounds the check of one life of a process.
const historyTimeout = 20 * time.Second

// configurationNeverBack: within one life of a process its configuration only moves up.
func (c *checker) configurationNeverBack() Promise {
	p := Promise{Name: "the configuration of a process never goes back"}
	type life struct{ gateway, life int }
	histories := map[life][]porcupine.Operation{}
	first := map[life]string{}
	for _, s := range c.sights() {
		p.Cases++
		key := life{s.call.Gateway, s.call.Life}
		slack := c.o.Bounds.Back
		if !c.inTouch(s.call.Gateway, s.to) {
			slack = c.o.Bounds.BackSlow
		}
		// A version that was seen is in force from slack after; before, an older one may be met.
		histories[key] = append(histories[key], porcupine.Operation{
			ClientId: len(histories[key]), Input: s.versions, Call: s.from.UnixNano(), Return: s.to.Add(slack).UnixNano(),
		})
		first[key] = s.call.ID
	}
	for key, ops := range histories {
		switch porcupine.CheckOperationsTimeout(configModel, ops, historyTimeout) {
		case porcupine.Illegal:
			id, why := c.regression(key.gateway, key.life)
			p.breach(id, "%s in its life %d: no order of its configurations explains what requests met%s", gatewayName(key.gateway), key.life, why)
		case porcupine.Unknown:
			p.breach(first[key], "%s in its life %d: not decided within %s", gatewayName(key.gateway), key.life, historyTimeout)
		}
	}
	return p
}

// regression names a pair of requests of which the later one met an older configuration.
func (c *checker) regression(gateway, life int) (id, why string) {
	all := slices.DeleteFunc(c.sights(), func(s sight) bool {
		return s.call.Gateway != gateway || s.call.Life != life || len(s.versions) == 0
	})
	for _, later := range all {
		for _, before := range all {
			if before.to.Add(c.o.Bounds.Back).Before(later.from) && before.versions[0] > later.versions[len(later.versions)-1] {
				return later.call.ID, fmt.Sprintf(": %s showed %v, %s later %s showed %v",
					before.call.ID, before.versions, later.from.Sub(before.to), later.call.ID, later.versions)
			}
		}
	}
	if len(all) == 0 {
		return "", ""
	}
	return all[0].call.ID, ""
}
