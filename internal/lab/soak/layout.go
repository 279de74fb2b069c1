package soak

import (
	"fmt"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// Layout describes a deployment: its hosts, its instances, and the failure domain of each.
type Layout struct {
	// Hosts are where the gateway processes run. If there are more processes than hosts, they are
	// assigned round robin.
	Hosts  []Host
	Places []Place
}

// Host is a host of a gateway process.
type Host struct {
	Domain string
	// Weight is the capacity that the process has for work on behalf of others, in CPU cores.
	Weight float64
}

// Place is a position in the layout at which a service always has one instance. When the instance
// ends, another one with a new ID takes its place.
type Place struct {
	Service string
	// Stage is the initial stage of an engine; empty for plain services.
	Stage  string
	Domain string
}

// engineStages are the initial stages of engines, assigned round robin.
var engineStages = []string{
	fleetengine.StagePrefill, fleetengine.StagePrefill,
	fleetengine.StageDecode, fleetengine.StageDecode, fleetengine.StageDecode, fleetengine.StageDecode,
}

// DefaultLayout is a small deployment with three failure domains and 13 instances.
var DefaultLayout = defaultLayout()

// plainInstances is the number of instances of the plain service in the default layout.
const plainInstances = 3

func defaultLayout() *Layout {
	l := &Layout{Hosts: []Host{{Domain: "a"}, {Domain: "b"}, {Domain: "c"}}}
	for range plainInstances {
		l.Places = append(l.Places, Place{Service: serviceApp})
	}
	l.addMarks()
	for _, stage := range engineStages {
		l.Places = append(l.Places, Place{Service: serviceModels, Stage: stage})
	}
	l.assignDomains()
	return l
}

// addMarks adds the mark services. Which of them receives a request shows the configuration version
// in force.
func (l *Layout) addMarks() {
	for n := range markServiceCount {
		l.Places = append(l.Places, Place{Service: markService(n)})
	}
}

// assignDomains assigns places without a failure domain to the domains of the hosts, round robin.
func (l *Layout) assignDomains() {
	for n := range l.Places {
		if l.Places[n].Domain == "" {
			l.Places[n].Domain = l.Hosts[n%len(l.Hosts)].Domain
		}
	}
}

// host returns the host of a process, by its number.
func (l *Layout) host(process int) Host { return l.Hosts[process%len(l.Hosts)] }

// serviceOf returns the service of an instance ID, or an empty string if the ID is unknown.
func (l *Layout) serviceOf(id string) string {
	var place, start int
	if _, err := fmt.Sscanf(id, "i-%d-%d", &place, &start); err != nil || place >= len(l.Places) {
		return ""
	}
	return l.Places[place].Service
}

// isCustom reports whether this is not the default layout.
func (l *Layout) isCustom() bool { return l != DefaultLayout }

// siteFile holds the fields that ReadSite uses from a deployment file of the users' platform.
type siteFile struct {
	Machines []struct {
		Class    string  `toml:"class"`
		CPUShare float64 `toml:"cpu_share"`
		Zone     string  `toml:"zone"`
		Count    int     `toml:"count"`
	} `toml:"machines"`
	Services []struct {
		// Model is empty for plain services.
		Model   string `toml:"model"`
		Servers []struct {
			Zone  string `toml:"zone"`
			Count int    `toml:"count"`
		} `toml:"servers"`
	} `toml:"services"`
	Bounds struct {
		DrainMs   float64 `toml:"drain_ms"`
		ConfigMs  float64 `toml:"config_ms"`
		ContactMs float64 `toml:"touch_ms"`
		GraceS    float64 `toml:"grace_s"`
		RecoverS  float64 `toml:"recover_s"`
	} `toml:"bounds"`
}

// hostClass is the class of the hosts that run gateways.
const hostClass = "front"

// ReadSite reads the layout and the bounds of a deployment from a file in the format of the users'
// platform. Bounds that the file does not set keep their default values.
func ReadSite(file string) (*Layout, Bounds, error) {
	var site siteFile
	b := DefaultBounds
	if _, err := toml.DecodeFile(file, &site); err != nil {
		return nil, b, fmt.Errorf("cannot read site file %s: %w", file, err)
	}
	l := &Layout{}
	for _, m := range site.Machines {
		if m.Class != hostClass {
			continue
		}
		for range m.Count {
			l.Hosts = append(l.Hosts, Host{m.Zone, m.CPUShare})
		}
	}
	if len(l.Hosts) == 0 {
		return nil, b, fmt.Errorf("site file %s has no machines of class %q", file, hostClass)
	}
	for _, s := range site.Services {
		for _, at := range s.Servers {
			for n := range at.Count {
				l.Places = append(l.Places, placeOf(s.Model, at.Zone, n))
			}
		}
	}
	l.addMarks()
	l.assignDomains()
	site.setBounds(&b)
	return l, b, nil
}

func placeOf(model, zone string, n int) Place {
	if model == "" {
		return Place{Service: serviceApp, Domain: zone}
	}
	return Place{Service: serviceModels, Stage: engineStages[n%len(engineStages)], Domain: zone}
}

func (s *siteFile) setBounds(b *Bounds) {
	for _, v := range []struct {
		to    *time.Duration
		value float64
		unit  time.Duration
	}{
		{&b.Drain, s.Bounds.DrainMs, time.Millisecond},
		{&b.Apply, s.Bounds.ConfigMs, time.Millisecond},
		{&b.ContactTime, s.Bounds.ContactMs, time.Millisecond},
		{&b.Grace, s.Bounds.GraceS, time.Second},
		{&b.Recovery, s.Bounds.RecoverS, time.Second},
	} {
		if v.value > 0 {
			*v.to = time.Duration(v.value * float64(v.unit))
		}
	}
}
