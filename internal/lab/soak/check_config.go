package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// configObservation is what one request shows about the configuration in force at a process.
type configObservation struct {
	call *Call
	// versions are the indexes of the configurations that are consistent with the observation, in
	// order.
	versions []int
	// The process read its configuration between from and to.
	from, to time.Time
}

// configObservations returns the observations from all requests.
func (c *checker) configObservations() []configObservation {
	var out []configObservation
	for _, call := range c.observed.Calls {
		switch call.Kind {
		case Mark:
			for _, a := range c.arrivals[call.key()] {
				service := c.intendedService(a)
				out = append(out, c.observeConfig(call, a.At, func(index int) bool { return markService(index) == service }))
			}
		case Only:
			var first int
			if _, err := fmt.Sscanf(strings.TrimPrefix(call.Path, "/"+string(Only)+"-"), "%d/", &first); err != nil {
				continue // unreachable: the client generated the path
			}
			hasRoute := func(index int) bool { return index >= first && index < first+onlyVersions }
			for _, a := range c.arrivals[call.key()] {
				out = append(out, c.observeConfig(call, a.At, hasRoute))
			}
			if call.Status == http.StatusNotFound {
				out = append(out, c.observeConfig(call, call.Ended, func(index int) bool { return !hasRoute(index) }))
			}
		}
	}
	return out
}

// intendedService returns the service that a request was sent to: that of the instance which it
// names. Another instance may run at the address meanwhile, which responds with 421.
func (c *checker) intendedService(a *Arrival) string {
	if named := c.o.Layout.serviceOf(a.TargetInstance); named != "" {
		return named
	}
	return a.Service
}

// observeConfig returns the observation of a call up to a time, from the configurations written
// until then.
func (c *checker) observeConfig(call *Call, to time.Time, allows func(index int) bool) configObservation {
	s := configObservation{call: call, from: call.Sent, to: to}
	for _, a := range c.observed.ConfigWrites {
		if !a.Sent.After(to) && allows(a.Index) {
			s.versions = append(s.versions, a.Index)
		}
	}
	slices.Sort(s.versions)
	return s
}

// configurationInForce checks that undisturbed processes apply a configuration within the bound.
func (c *checker) configurationInForce() Guarantee {
	g := Guarantee{Name: "undisturbed processes apply a configuration within the bound"}
	for _, s := range c.configObservations() {
		if !c.learnsOfConfigurations(s.call.Gateway, s.to) || !c.learnsOfConfigurations(s.call.Gateway, s.from) {
			continue
		}
		g.Cases++
		newest := 0
		for _, a := range c.observed.ConfigWrites {
			if !a.Done.Add(c.o.Bounds.Apply).After(s.from) {
				newest = max(newest, a.Index)
			}
		}
		if len(s.versions) == 0 || s.versions[len(s.versions)-1] < newest {
			g.addViolation(s.call.ID, "%s: %s at %s shows one of the configurations %v, %d is in force", s.call.ID, s.call.Path, gatewayName(s.call.Gateway), s.versions, newest)
		}
	}
	return g
}

// minUndisturbedOthers is how many undisturbed processes suffice for one that the store rejects to learn of changes.
const minUndisturbedOthers = 2

// learnsOfConfigurations reports whether the bound for configurations applies to a process at a time: it is undisturbed, or
// the store rejects it while others are undisturbed.
func (c *checker) learnsOfConfigurations(gateway int, at time.Time) bool {
	if c.undisturbed(gateway, at) {
		return true
	}
	if !c.undisturbedBy(gateway, at, besidesRejections) {
		return false
	}
	others := 0
	for n := range c.o.Processes {
		if n != gateway && c.undisturbed(n, at) {
			others++
		}
	}
	return others >= minUndisturbedOthers
}

// configurationMonotonic checks that within one incarnation of a process its configuration version
// never decreases.
func (c *checker) configurationMonotonic() Guarantee {
	g := Guarantee{Name: "the configuration version of a process never decreases"}
	type processRun struct{ gateway, incarnation int }
	histories := map[processRun][]versionInterval{}
	for _, s := range c.configObservations() {
		g.Cases++
		key := processRun{s.call.Gateway, s.call.Incarnation}
		slack := c.o.Bounds.StaleConfig
		if !c.undisturbed(s.call.Gateway, s.to) {
			slack = c.o.Bounds.StaleConfigDisturbed
		}
		// A version that was observed is in force after slack has passed; until then, requests may
		// still meet an older one.
		histories[key] = append(histories[key], versionInterval{s.from, s.to.Add(slack), s.versions})
	}
	for key, history := range histories {
		if !neverDecreases(history) {
			id, why := c.regression(key.gateway, key.incarnation)
			g.addViolation(id, "%s in its incarnation %d: no order of its configurations explains the observations%s", gatewayName(key.gateway), key.incarnation, why)
		}
	}
	return g
}

// versionInterval is a time in which one of several versions, in ascending order, was in force.
type versionInterval struct {
	from, to time.Time
	versions []int
}

// neverDecreases reports whether one version can be chosen for each interval so that none is lower than that of an interval
// which had ended before. The lowest choice for each interval, in the order of their starts, leaves most room for the others.
func neverDecreases(all []versionInterval) bool {
	slices.SortFunc(all, func(a, b versionInterval) int { return a.from.Compare(b.from) })
	type choice struct {
		ended   time.Time
		version int
	}
	var open []choice
	reached := 0
	for _, i := range all {
		open = slices.DeleteFunc(open, func(o choice) bool {
			ended := o.ended.Before(i.from)
			if ended {
				reached = max(reached, o.version)
			}
			return ended
		})
		at := slices.IndexFunc(i.versions, func(v int) bool { return v >= reached })
		if at < 0 {
			return false
		}
		open = append(open, choice{i.to, i.versions[at]})
	}
	return true
}

// regression finds a pair of requests of which the later one met an older configuration. It returns
// the ID of the later one and a description; if there is no such pair, the ID of the first request.
func (c *checker) regression(gateway, incarnation int) (id, why string) {
	all := slices.DeleteFunc(c.configObservations(), func(s configObservation) bool {
		return s.call.Gateway != gateway || s.call.Incarnation != incarnation || len(s.versions) == 0
	})
	for _, later := range all {
		for _, before := range all {
			if before.to.Add(c.o.Bounds.StaleConfig).Before(later.from) && before.versions[0] > later.versions[len(later.versions)-1] {
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
