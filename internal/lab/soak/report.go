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

// mostShown is how many breaches of a promise are shown.
const mostShown = 5

// Breach is one case in which a promise was not kept.
type Breach struct {
	// Request is the id of a request for rockdoor trace, empty if it concerns none.
	Request string
	What    string
	// Signs are what the lines of the processes' logs hold that tell of it, besides the request.
	Signs []string
}

// Promise is what was checked, on how many cases, with those that broke it.
type Promise struct {
	Name     string
	Cases    int
	Breaches []Breach
	// Least is how many cases there must be for the run to say something of the promise.
	Least int
	// Closest says how near the closest case came to its bound, where that can be said.
	Closest string
}

// Report tells what a run was and found.
type Report struct {
	Seed      uint64
	Processes int
	Length    time.Duration
	Dir       string
	Calls     int
	Answers   map[string]int
	Arrivals  int
	Faults    map[Fault]int
	Promises  []Promise
	// Served is the share of requests after the recovery that were answered whole.
	Served float64
}

// Broken returns the promises that were not kept.
func (r *Report) Broken() []Promise {
	var out []Promise
	for _, p := range r.Promises {
		if len(p.Breaches) > 0 {
			out = append(out, p)
		}
	}
	return out
}

// unproved returns how many promises had too few cases.
func (r *Report) unproved() (n int) {
	for _, p := range r.Promises {
		if p.Cases < p.Least {
			n++
		}
	}
	return n
}

// Write writes the report as text.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d processes, faults for %s, %d requests, %d arrivals at instances\n", r.Seed, r.Processes, r.Length, r.Calls, r.Arrivals)
	fmt.Fprintf(w, "answers: %s\n", counts(r.Answers))
	fmt.Fprintf(w, "faults: %s\n", counts(r.Faults))
	for _, p := range r.Promises {
		fmt.Fprintf(w, "%-9s %8d cases  %s%s\n", verdict(p), p.Cases, p.Name, p.Closest)
		for n, b := range p.Breaches {
			if n == mostShown {
				fmt.Fprintf(w, "          and %d more\n", len(p.Breaches)-n)
				break
			}
			fmt.Fprintf(w, "          %s\n", b.What)
			if b.Request != "" {
				fmt.Fprintf(w, "          rockdoor trace %s %s/gateway-*.log\n", b.Request, r.Dir)
			}
			b.writeLog(w, r.Dir)
		}
	}
	fmt.Fprintf(w, "after the last fault %.0f%% of the requests were answered whole\n", 100*r.Served)
	if len(r.Broken()) == 0 {
		fmt.Fprintf(w, "seed %d: all promises kept, %d of them with too few cases to prove anything\n", r.Seed, r.unproved())
		return
	}
	fmt.Fprintf(w, "seed %d: BROKEN, logs are in %s\n", r.Seed, r.Dir)
}

func verdict(p Promise) string {
	switch {
	case len(p.Breaches) > 0:
		return "BROKEN"
	case p.Cases < p.Least:
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
	// mostLines is how many lines of the logs are shown of a breach, the last ones, and lineLength how
	// much of each.
	mostLines  = 12
	lineLength = 400
)

// writeLog writes what the processes' logs say of a breach, since a machine that plays the soak
// may not be kept.
func (b *Breach) writeLog(w io.Writer, dir string) {
	signs := b.Signs
	if b.Request != "" {
		signs = append(slices.Clone(signs), "request="+b.Request)
	}
	files, err := filepath.Glob(filepath.Join(dir, "gateway-*.log"))
	if err != nil || len(signs) == 0 {
		return // the pattern is a constant
	}
	var lines []string
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			fmt.Fprintf(w, "          %s cannot be read: %s\n", file, err)
			continue
		}
		for line := range strings.Lines(string(text)) {
			if slices.ContainsFunc(signs, func(sign string) bool { return strings.Contains(line, sign) }) {
				lines = append(lines, strings.TrimSpace(line[:min(len(line), lineLength)]))
			}
		}
	}
	slices.Sort(lines) // they begin with their times
	for _, line := range lines[max(0, len(lines)-mostLines):] {
		fmt.Fprintf(w, "          | %s\n", line)
	}
}
