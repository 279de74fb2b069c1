package placement

// WorkTotals is the work for a service that this process has placed since it started.
type WorkTotals struct {
	// PrefillMs is the time that typical engines spend on the prompts, in ms, without the part that
	// doesn't depend on the prompt: engines spend it on several prompts at once.
	PrefillMs float64
	// DecodeMs is the time during which slots were used for decoding, in ms. It is added when a
	// response ends.
	DecodeMs float64
	Requests uint64
}

// workTotals returns the totals of a service. The caller holds the lock.
func (p *Placer) workTotals(service string) *WorkTotals {
	w := p.work[service]
	if w == nil {
		w = &WorkTotals{}
		p.work[service] = w
	}
	return w
}

// WorkTotals returns the totals by service.
func (p *Placer) WorkTotals() map[string]WorkTotals {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]WorkTotals, len(p.work))
	for service, w := range p.work {
		out[service] = *w
	}
	return out
}

// tokensMs returns the part of a prompt's prefill that is proportional to its tokens and pairs, in ms.
func (m *Model) tokensMs(w Work) float64 {
	x := m.featureVector(w)
	return m.cost[1]*x[1] + m.cost[2]*x[2]
}
