package placement

// Features are the optional mechanisms. The zero value enables none of them.
type Features struct {
	WholeRequests   bool
	EngineProfiles  bool
	WorkspaceShares bool
}

// SetFeatures enables optional mechanisms. It must be called before the placer is used.
func (p *Placer) SetFeatures(f Features) { p.features = f }
