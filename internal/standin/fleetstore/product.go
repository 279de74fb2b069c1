package fleetstore

import "encoding/json"

// Kinds of objects that the product keeps for itself.
const (
	kindMembers = "rockdoor-members"
	kindLeases  = "rockdoor-leases"
	// dutiesLease is the name of the lease of those that give orders. The holder has that of
	// former versions too, but so may a candidate that lost.
	dutiesLease = "duties"
)

// Addresses replaces the addresses that a caller learns from the store. A nil function
// leaves them as they are.
type Addresses struct {
	// Instance replaces that of an engine or backend server.
	Instance func(address string) string
	// Member replaces that of another process of the product.
	Member func(name, address string) string
}

// apply returns a spec as a caller reads it. Its own registration is left as it is.
func (a Addresses) apply(caller, kind, name string, spec json.RawMessage) json.RawMessage {
	switch {
	case kind == kindInstances && a.Instance != nil:
		return changeField(spec, a.Instance, "address")
	case kind == kindMembers && a.Member != nil && name != caller:
		return changeField(spec, func(address string) string { return a.Member(name, address) }, "value", "peer")
	}
	return spec
}

// changeField changes a text in JSON. What cannot be read stays as it is.
func changeField(spec json.RawMessage, change func(old string) string, path ...string) json.RawMessage {
	if len(path) == 0 {
		var old string
		if json.Unmarshal(spec, &old) != nil {
			return spec
		}
		text, err := json.Marshal(change(old))
		if err != nil {
			return spec
		}
		return text
	}
	var all map[string]json.RawMessage
	if json.Unmarshal(spec, &all) != nil || all[path[0]] == nil {
		return spec
	}
	all[path[0]] = changeField(all[path[0]], change, path[1:]...)
	out, err := json.Marshal(all)
	if err != nil {
		return spec
	}
	return out
}

// Lease returns who holds the product's duties after a change, and the number of the grant.
// It reports false for changes that grant nothing, as of a lease that cannot be read.
func (c Change) Lease() (holder string, token int64, ok bool) {
	if c.Kind != kindLeases || c.Name != dutiesLease || c.Deleted {
		return "", 0, false
	}
	var w struct {
		Value struct {
			Holder string `json:"holder"`
			Token  int64  `json:"token"`
		} `json:"value"`
	}
	if json.Unmarshal(c.Spec, &w) != nil {
		return "", 0, false
	}
	return w.Value.Holder, w.Value.Token, true
}
