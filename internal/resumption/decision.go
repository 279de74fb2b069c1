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
	// stored is what the list of versions says, unless it has not been read or listErr is set.
	stored              Evidence
	listErr, recordsErr error
}

// fields returns the decision as fields of a log line.
func (d *decision) fields() []any {
	var peers []string
	for _, e := range d.peers {
		peers = append(peers, e.String())
	}
	return []any{"own", d.own, "age", d.age.Round(time.Millisecond), "asked", d.asked, "answered", d.answered, "peers", strings.Join(peers, " "), "stored", d.stored, "list_err", d.listErr, "records_err", d.recordsErr}
}

// describeVersions returns the versions of each service as text for the log, cut if there are many.
func describeVersions(versions map[string][]string) string {
	const maxLength = 400
	text := fmt.Sprint(versions)
	return text[:min(len(text), maxLength)]
}

// String returns the evidence as text for the log.
func (e Evidence) String() string {
	if e.Complete {
		return fmt.Sprint("all:", e.Versions)
	}
	return fmt.Sprint("some:", e.Versions)
}
