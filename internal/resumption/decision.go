package resumption

import (
	"fmt"
	"strings"
	"time"
)

// decision holds what a conclusion about the origin of a stream rests on, for the log.
type decision struct {
	// own is what this process knows, by registrations of the given age.
	own Evidence
	age time.Duration
	// asked and answered are numbers of peers, peers has the answers.
	asked, answered int
	peers           []Evidence
	// stored is what the store says, unless it has not been asked or storeErr is set.
	stored   Evidence
	storeErr error
}

// fields returns the decision as fields of a log line.
func (d *decision) fields() []any {
	var peers []string
	for _, e := range d.peers {
		peers = append(peers, e.String())
	}
	return []any{"own", d.own, "age", d.age.Round(time.Millisecond), "asked", d.asked, "answered", d.answered, "peers", strings.Join(peers, " "), "stored", d.stored, "store_err", d.storeErr}
}

// String returns the evidence as text for the log.
func (e Evidence) String() string {
	if e.Complete {
		return fmt.Sprint("all:", e.Versions)
	}
	return fmt.Sprint("some:", e.Versions)
}
