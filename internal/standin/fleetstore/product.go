package fleetstore

import "encoding/json"

// Kinds of objects that the product stores for its own processes.
const (
	kindMembers = "rockdoor-members"
	kindLeases  = "rockdoor-leases"
	// dutiesLease is the name of the lease whose holder performs the duties, which include sending
	// orders. The holder also has the lease of former versions, but that one does not identify
	// the holder: a process that failed to get dutiesLease may have it too.
	dutiesLease = "duties"
)

// Addresses replaces addresses in the objects that a client reads from the store, for example to
// route its connections through a proxy. A nil function leaves the addresses unchanged.
type Addresses struct {
	// Instance replaces the address of an engine or backend server.
	Instance func(address string) string
	// Member replaces the peer address of another process of the product.
	Member func(name, address string) string
}

// rewrite returns a spec as a client reads it. The client's own registration is unchanged.
func (a Addresses) rewrite(client, kind, name string, spec json.RawMessage) json.RawMessage {
	switch {
	case kind == kindInstances && a.Instance != nil:
		return rewriteField(spec, a.Instance, "address")
	case kind == kindMembers && a.Member != nil && name != client:
		return rewriteField(spec, func(address string) string { return a.Member(name, address) }, "value", "peer")
	}
	return spec
}

// rewriteField applies change to the string at a path in a JSON document. If the path does not lead to a
// string, it returns the document unchanged.
func rewriteField(spec json.RawMessage, change func(old string) string, path ...string) json.RawMessage {
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
	all[path[0]] = rewriteField(all[path[0]], change, path[1:]...)
	out, err := json.Marshal(all)
	if err != nil {
		return spec
	}
	return out
}

// Lease returns the holder and the fencing token of the product's duties lease after a change. It
// reports false for changes of other objects, for a deletion, and if the lease is not valid JSON.
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
