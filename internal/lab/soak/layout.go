package soak

import (
	"fmt"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// Layout is what a deployment consists of: hosts and instances by their failure domains.
type Layout struct {
	// Hosts are those of the processes. There may be more processes than hosts: they begin
	// with the first one again.
	Hosts  []Host
	Places []Place
}

// Host is where one process runs.
type Host struct {
	Domain string
	// Weight is how much work the process can take on for others, in shares of a core.
	Weight float64
}

// Place is where one instance after the other of a service runs.
type Place struct {
	Service string
	// Stage is that of an engine at its start, empty for plain services.
	Stage  string
	Domain string
}

// engineStages are the stages of engines at their start, in turn.
var engineStages = []string{
	fleetengine.StagePrefill, fleetengine.StagePrefill,
	fleetengine.StageDecode, fleetengine.StageDecode, fleetengine.StageDecode, fleetengine.StageDecode,
}

// DefaultLayout is that of a small deployment: three domains, 13 instances.
var DefaultLayout = defaultLayout()

// plainInstances is how many instances the plain service has in the default layout.
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
	l.spread()
	return l
}

// addMarks adds the services that show which version of the configuration is in force.
func (l *Layout) addMarks() {
	for n := range markServices {
		l.Places = append(l.Places, Place{Service: markService(n)})
	}
}

// spread puts places without a domain into all domains in turn.
func (l *Layout) spread() {
	for n := range l.Places {
		if l.Places[n].Domain == "" {
			l.Places[n].Domain = l.Hosts[n%len(l.Hosts)].Domain
		}
	}
}

// host returns that of the process with a number.
func (l *Layout) host(process int) Host { return l.Hosts[process%len(l.Hosts)] }

// serviceOf returns the service of an instance, empty if there is none with the id.
func (l *Layout) serviceOf(id string) string {
	var place, start int
	if _, err := fmt.Sscanf(id, "i-%d-%d", &place, &start); err != nil || place >= len(l.Places) {
		return ""
	}
	return l.Places[place].Service
}

// grown reports whether this is another layout than the default one.
func (l *Layout) grown() bool { return l != DefaultLayout }

// siteFile is what is read of a file that describes a deployment of the users' platform.
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

// hostClass is the class of the hosts on which gateways run.
const hostClass = "front"

// ReadSite reads the layout and the bounds of a deployment from a file in the format of the
// users' platform. What the file does not say is as in the defaults.
func ReadSite(file string) (*Layout, Bounds, error) {
	var site siteFile
	b := DefaultBounds
	if _, err := toml.DecodeFile(file, &site); err != nil {
		return nil, b, fmt.Errorf("site file %s cannot be read: %w", file, err)
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
		return nil, b, fmt.Errorf("site file %s names no machines of class %q", file, hostClass)
	}
	for _, s := range site.Services {
		for _, at := range s.Servers {
			for n := range at.Count {
				l.Places = append(l.Places, placeOf(s.Model, at.Zone, n))
			}
		}
	}
	l.addMarks()
	l.spread()
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
		to   *time.Duration
		text float64
		unit time.Duration
	}{
		{&b.Drain, s.Bounds.DrainMs, time.Millisecond},
		{&b.Apply, s.Bounds.ConfigMs, time.Millisecond},
		{&b.Contact, s.Bounds.ContactMs, time.Millisecond},
		{&b.Grace, s.Bounds.GraceS, time.Second},
		{&b.Recovery, s.Bounds.RecoverS, time.Second},
	} {
		if v.text > 0 {
			*v.to = time.Duration(v.text * float64(v.unit))
		}
	}
}
