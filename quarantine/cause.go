package quarantine

// Kind is the kind of a possible cause of a crash.
type Kind uint8

// Kinds of causes.
const (
	// KindRequest is a whole request.
	KindRequest Kind = iota
	// KindPart is a part of a prompt, in whatever workspace.
	KindPart
	// KindWorkspacePart is a part of the prompts of one workspace. It is never blamed itself: it tells that a blamed part
	// concerns the workspace. Without it, a caller could have another workspace's part rejected by naming it.
	KindWorkspacePart
)

// String returns the kind as operators see it.
func (k Kind) String() string {
	switch k {
	case KindRequest:
		return "request"
	case KindPart:
		return "part"
	}
	return "part of a workspace"
}

// cause identifies a possible cause of a crash.
type cause struct {
	kind Kind
	id   Fingerprint
}

// maxParts limits the parts of one prompt that are suspected.
const maxParts = 16

// Part identifies a part of a prompt over all workspaces, and in the workspace of the request.
type Part struct{ Shared, Own Fingerprint }

// PartsOf returns the parts of a prompt that may cause crashes. ids are the IDs of the parts that other requests may share.
func PartsOf(workspace, model string, ids []string) []Part {
	var out []Part
	for _, id := range ids[:min(len(ids), maxParts)] {
		out = append(out, Part{Shared: fingerprintOfFields("part", model, id), Own: fingerprintOfFields("part of workspace", model, id, workspace)})
	}
	return out
}

// RecordPartCrash records that an instance has crashed when it may have begun to write an answer on a prompt with the
// given parts. It returns the verdict on them.
func (t *Table) RecordPartCrash(parts []Part, instance string) Verdict {
	t.recordParts(parts, Observation{Instance: instance})
	return t.PartVerdict(parts)
}

// RecordPartSuccess records that an instance has written an answer on a prompt with the given parts, or begun to.
func (t *Table) RecordPartSuccess(parts []Part, instance string) {
	t.recordParts(parts, Observation{CompletedBy: instance})
}

// ClearPart records an operator's decision that a part does not crash instances any more.
func (t *Table) ClearPart(shared Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	t.apply(Observation{Kind: KindPart, Request: shared, At: t.now()})
}

// BlamedCrashes returns the crashes that led to the present quarantines, and those that tell which workspaces they
// concern.
func (t *Table) BlamedCrashes() []Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	b := t.blamed()
	var out []Observation
	for key, s := range t.suspects {
		if !b.has(key) && (key.kind != KindWorkspacePart || len(b.parts) == 0 || len(s.evidence()) < quarantineThreshold) {
			continue
		}
		for _, c := range s.evidence() {
			out = append(out, c.Observation)
		}
	}
	return out
}

// Find returns the suspect with a fingerprint.
func (t *Table) Find(f Fingerprint) (Suspect, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	for _, kind := range []Kind{KindRequest, KindPart} {
		if s := t.suspects[cause{kind, f}]; s != nil {
			return t.describe(cause{kind, f}, s, t.now()), true
		}
	}
	return Suspect{}, false
}

// recordParts applies an observation about each of the parts.
func (t *Table) recordParts(parts []Part, o Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	o.At = t.now()
	for _, p := range parts {
		o.Kind, o.Request = KindPart, p.Shared
		t.apply(o)
		o.Kind, o.Request = KindWorkspacePart, p.Own
		t.apply(o)
	}
}

// AdmitParts returns the verdict on a request with the given parts that is to be sent to an instance. Like Admit, it may
// start a trial.
func (t *Table) AdmitParts(parts []Part) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	v, blamed := t.partVerdict(parts)
	t.startTrial(&v, blamed)
	return v
}

// PartVerdict returns the verdict on a request with the given parts without starting a trial.
func (t *Table) PartVerdict(parts []Part) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	v, _ := t.partVerdict(parts)
	return v
}

// partVerdict returns the verdict and the blamed part that it is about. The caller holds the lock.
func (t *Table) partVerdict(parts []Part) (Verdict, *suspect) {
	for _, members := range t.blamed().parts {
		if !t.concerns(members, parts) {
			continue
		}
		s := t.suspects[cause{KindPart, members[0]}]
		v := Verdict{Quarantined: true, CrashedInstances: instancesOf(s.evidence())}
		v.Refused, v.RetryAfter = t.refusal(s)
		return v, s
	}
	return Verdict{}, nil
}

// concerns reports whether a request has all parts that are blamed together, and whether an instance has crashed under one
// of them in the workspace of the request.
func (t *Table) concerns(members []Fingerprint, parts []Part) bool {
	own := false
	for _, m := range members {
		p, ok := findPart(parts, m)
		if !ok {
			return false
		}
		s := t.suspects[cause{KindWorkspacePart, p.Own}]
		own = own || s != nil && len(s.evidence()) > 0
	}
	return own
}

func findPart(parts []Part, shared Fingerprint) (Part, bool) {
	for _, p := range parts {
		if p.Shared == shared {
			return p, true
		}
	}
	return Part{}, false
}

func instancesOf(crashes []numberedObservation) (out []string) {
	for _, c := range crashes {
		out = append(out, c.Instance)
	}
	return out
}
