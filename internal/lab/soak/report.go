package soak

import (
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// maxShownViolations is the number of violations shown for a guarantee.
const maxShownViolations = 5

// Violation is one case in which a guarantee was not kept.
type Violation struct {
	// Request is the ID of the request, for rockdoor trace; empty if the violation is not about a
	// request.
	Request string
	What    string
	// LogPatterns are substrings of log lines that belong to the violation, besides the request ID.
	LogPatterns []string
}

// Guarantee is the result of one check: the number of cases examined and the violations found.
type Guarantee struct {
	Name       string
	Cases      int
	Violations []Violation
	// MinCases is the number of cases needed for the result to be conclusive.
	MinCases int
	// Closest describes how close the worst case came to its bound, for checks that can tell.
	Closest string
}

// Report summarizes a run and its results.
type Report struct {
	Seed      uint64
	Processes int
	Length    time.Duration
	Dir       string
	Calls     int
	// Repeated counts the calls that repeat another one, LateResponses the responses in excess.
	Repeated, LateResponses int
	Outcomes                map[string]int
	Arrivals                int
	Faults                  map[Fault]int
	Guarantees              []Guarantee
	// ServedShare is the share of requests after the recovery that got a complete response.
	ServedShare float64
}

// Broken returns the guarantees that were violated.
func (r *Report) Broken() []Guarantee {
	var out []Guarantee
	for _, g := range r.Guarantees {
		if len(g.Violations) > 0 {
			out = append(out, g)
		}
	}
	return out
}

// tooFewCases returns the number of guarantees with too few cases.
func (r *Report) tooFewCases() (n int) {
	for _, g := range r.Guarantees {
		if g.Cases < g.MinCases {
			n++
		}
	}
	return n
}

// Write writes the report as text.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d processes, faults for %s, %d requests, %d arrivals at instances\n", r.Seed, r.Processes, r.Length, r.Calls, r.Arrivals)
	fmt.Fprintf(w, "responses: %s\n", counts(r.Outcomes))
	fmt.Fprintf(w, "faults: %s\n", counts(r.Faults))
	fmt.Fprintf(w, "%d requests were repeated by their clients, %d responses in excess\n", r.Repeated, r.LateResponses)
	for _, g := range r.Guarantees {
		fmt.Fprintf(w, "%-9s %8d cases  %s%s\n", verdict(g), g.Cases, g.Name, g.Closest)
		for n, v := range g.Violations {
			if n == maxShownViolations {
				fmt.Fprintf(w, "          and %d more\n", len(g.Violations)-n)
				break
			}
			fmt.Fprintf(w, "          %s\n", v.What)
			if v.Request != "" {
				fmt.Fprintf(w, "          rockdoor trace %s %s/gateway-*.log\n", v.Request, r.Dir)
			}
			v.writeLog(w, r.Dir)
		}
	}
	fmt.Fprintf(w, "after the last fault %.0f%% of the requests got a complete response\n", 100*r.ServedShare)
	if len(r.Broken()) == 0 {
		fmt.Fprintf(w, "seed %d: all guarantees kept, %d of them with too few cases to be conclusive\n", r.Seed, r.tooFewCases())
		return
	}
	fmt.Fprintf(w, "seed %d: BROKEN, logs are in %s\n", r.Seed, r.Dir)
}

func verdict(g Guarantee) string {
	switch {
	case len(g.Violations) > 0:
		return "BROKEN"
	case g.Cases < g.MinCases:
		return "unproved"
	}
	return "kept"
}

func counts[K ~string](m map[K]int) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%s %d", string(k), m[k]))
	}
	return strings.Join(out, ", ")
}

const (
	// At most maxLogLines log lines are shown for a violation, the last ones, each cut off after
	// maxLogLineLength bytes.
	maxLogLines      = 12
	maxLogLineLength = 400
)

// writeLog writes the log lines of a violation into the report, because the machine that runs the
// soak, and the log files on it, may not be kept.
func (v *Violation) writeLog(w io.Writer, dir string) {
	patterns := v.LogPatterns
	if v.Request != "" {
		patterns = append(slices.Clone(patterns), "request="+v.Request)
	}
	files, err := filepath.Glob(filepath.Join(dir, "gateway-*.log"))
	if err != nil || len(patterns) == 0 {
		return // the pattern is a constant
	}
	var lines []string
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			fmt.Fprintf(w, "          cannot read %s: %s\n", file, err)
			continue
		}
		for line := range strings.Lines(string(text)) {
			if slices.ContainsFunc(patterns, func(pattern string) bool { return strings.Contains(line, pattern) }) {
				lines = append(lines, strings.TrimSpace(line[:min(len(line), maxLogLineLength)]))
			}
		}
	}
	slices.Sort(lines) // each begins with its time
	for _, line := range lines[max(0, len(lines)-maxLogLines):] {
		fmt.Fprintf(w, "          | %s\n", line)
	}
}
