package load

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Summary summarizes the results of one class.
type Summary struct {
	Class    string
	Requests int
	Outcomes map[Outcome]int
	// Good is the number of useful responses, Tokens the sum of their prompt and output tokens.
	Good   int
	Tokens int
	// First, Gaps and Totals are the times of the complete responses.
	First  []time.Duration
	Gaps   []time.Duration
	Totals []time.Duration
}

// Summarize groups results by class, in the order of the mix.
func Summarize(m Mix, results []Result) []*Summary {
	var out []*Summary
	for _, c := range m.Classes {
		s := &Summary{Class: c.Name, Outcomes: map[Outcome]int{}}
		for _, r := range results {
			if r.Class == c.Name {
				s.add(r)
			}
		}
		if s.Requests > 0 {
			out = append(out, s)
		}
	}
	return out
}

func (s *Summary) add(r Result) {
	s.Requests++
	s.Outcomes[r.Outcome]++
	if r.Good {
		s.Good++
		s.Tokens += r.Tokens + r.PromptTokens
	}
	if r.Outcome == Complete {
		s.First = append(s.First, r.First)
		s.Gaps = append(s.Gaps, r.Gap)
		s.Totals = append(s.Totals, r.Total)
	}
}

func ms(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

// Print writes the summaries as a table.
func Print(w io.Writer, sums []*Summary, took time.Duration) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"class", "requests", "complete", "refused", "unknown", "failed", "broken", "good", "good/s", "first p50", "first p95", "gap p95", "total p50", "total p99"})
	for _, s := range sums {
		t.AppendRow(table.Row{
			s.Class, s.Requests, s.Outcomes[Complete], s.Outcomes[NotRun], s.Outcomes[Unknown], s.Outcomes[Failed], s.Outcomes[Broken],
			s.Good, float64(int(float64(s.Good)/took.Seconds()*10)) / 10,
			ms(Percentile(s.First, 0.5)), ms(Percentile(s.First, 0.95)), ms(Percentile(s.Gaps, 0.95)),
			ms(Percentile(s.Totals, 0.5)), ms(Percentile(s.Totals, 0.99)),
		})
	}
	t.Render()
}

// PrintViolations writes the number of violations of each guarantee as a table.
func PrintViolations(w io.Writer, v Violations) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"promise", "broken"})
	t.AppendRows([]table.Row{
		{"runs at a target not permitted", v.WrongTarget},
		{"requests run more than once", v.RanMoreThanOnce},
		{"false \"not run\"", v.FalseNotRun},
		{"responses of another request", v.WrongResponse},
		{"requests without a final response", v.NoFinalResponse},
		{"responses without a run", v.NoRecordedRun},
	})
	t.Render()
}

// PrintCodes writes how often each combination of outcome and error code occurred.
func PrintCodes(w io.Writer, results []Result) {
	counts := map[string]int{}
	for _, r := range results {
		if r.Outcome != Complete {
			counts[string(r.Outcome)+" "+r.Code]++
		}
	}
	if len(counts) == 0 {
		return
	}
	var names []string
	for n := range counts {
		names = append(names, n)
	}
	slices.Sort(names)
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"outcome and code", "requests"})
	for _, n := range names {
		t.AppendRow(table.Row{n, counts[n]})
	}
	t.Render()
}

// PrintSummary writes one line with the share of requests that got a useful response, in total and
// for each class.
func PrintSummary(w io.Writer, label string, sums []*Summary) {
	good, all := 0, 0
	for _, s := range sums {
		good += s.Good
		all += s.Requests
	}
	fmt.Fprintf(w, "SUMMARY %s good=%d of=%d share=%.3f", label, good, all, float64(good)/float64(max(all, 1)))
	for _, s := range sums {
		fmt.Fprintf(w, " %s=%.3f", s.Class, float64(s.Good)/float64(s.Requests))
	}
	fmt.Fprintln(w)
}
