package gatewayd

import (
	"net/http"

	"github.com/rockdoor/rockdoor/profile"
)

// ProfilesStatus is what one gateway knows of the speeds of engines.
type ProfilesStatus struct {
	// Enabled is true if the settings enable profiles of engines.
	Enabled bool                  `json:"enabled"`
	Engines []EngineProfileStatus `json:"engines"`
}

// EngineProfileStatus is the profile of one engine relative to the typical engine of its service.
type EngineProfileStatus struct {
	Engine         string        `json:"engine"`
	Service        string        `json:"service"`
	Class          profile.Class `json:"class"`
	PrefillSpeed   float64       `json:"prefillSpeed"`
	DecodeSpeed    float64       `json:"decodeSpeed"`
	PrefillSamples float64       `json:"prefillSamples"`
	DecodeSamples  float64       `json:"decodeSamples"`
	// Used is true if requests are placed by the profiles because the engines of the service differ.
	Used bool `json:"used"`
}

// engineProfiles responds with the profiles of all engines that this process knows.
func (d *Daemon) engineProfiles(w http.ResponseWriter, _ *http.Request) {
	out := ProfilesStatus{Enabled: d.profiles != nil, Engines: []EngineProfileStatus{}}
	if d.profiles != nil {
		for _, p := range d.profiles.Statuses() {
			out.Engines = append(out.Engines, EngineProfileStatus{
				Engine: p.Instance, Service: p.Service, Class: p.Class, PrefillSpeed: p.Profile.Prefill.Speed(), DecodeSpeed: p.Profile.Decode.Speed(),
				PrefillSamples: p.Profile.Prefill.Samples, DecodeSamples: p.Profile.Decode.Samples, Used: p.Used,
			})
		}
	}
	d.writeJSON(w, http.StatusOK, out)
}
