package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v2"
)

// clockTicks is the number of ticks per second in which /proc states CPU time.
const clockTicks = 100

func scaleCommand() *cli.Command {
	return &cli.Command{
		Name: "scale", Usage: "measure the cost of control traffic in a running fleet",
		Description: "DIR contains NAME.pid and NAME.log of each entry process, and NAME.admin with its admin address.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Required: true},
			&cli.StringFlag{Name: "platform", Required: true, Usage: "base URL of the platform stand-in"},
			&cli.DurationFlag{Name: "for", Value: 15 * time.Second},
		},
		Action: measureScale,
	}
}

// sample is the resource usage of a process up to a point in time.
type sample struct {
	cpu   float64 // seconds
	bytes float64 // control bytes in and out
	rss   float64 // bytes
}

func measureScale(c *cli.Context) error {
	pidFiles, err := filepath.Glob(filepath.Join(c.String("dir"), "*.pid"))
	if err != nil {
		return err
	}
	calls0, err := platformCalls(c.Context, c.String("platform"))
	if err != nil {
		return err
	}
	before := map[string]sample{}
	for _, f := range pidFiles {
		if before[f], err = takeSample(c.Context, f); err != nil {
			return err
		}
	}
	start := time.Now()
	time.Sleep(c.Duration("for"))
	var cpu, bytes, rss []float64
	for _, f := range pidFiles {
		s, err := takeSample(c.Context, f)
		if err != nil {
			return err
		}
		secs := time.Since(start).Seconds()
		cpu = append(cpu, (s.cpu-before[f].cpu)/secs*100)
		bytes = append(bytes, (s.bytes-before[f].bytes)/secs)
		rss = append(rss, s.rss/(1<<20))
	}
	calls1, err := platformCalls(c.Context, c.String("platform"))
	if err != nil {
		return err
	}
	secs := time.Since(start).Seconds()
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.AppendHeader(table.Row{"processes", "per process", "p50", "max"})
	t.AppendRow(table.Row{len(pidFiles), "CPU, % of a core", median(cpu), slices.Max(cpu)})
	t.AppendRow(table.Row{"", "control bytes/s", median(bytes), slices.Max(bytes)})
	t.AppendRow(table.Row{"", "resident MB", median(rss), slices.Max(rss)})
	for kind, n := range calls1 {
		t.AppendRow(table.Row{"", "platform " + kind + "/s, whole fleet", fmt.Sprintf("%.2f", float64(n-calls0[kind])/secs), ""})
	}
	t.Render()
	return printPropagationTimes(c.String("dir"))
}

func median(v []float64) float64 {
	s := slices.Clone(v)
	slices.Sort(s)
	return s[len(s)/2]
}

func platformCalls(ctx context.Context, base string) (map[string]int, error) {
	var calls map[string]int
	text, err := fetch(ctx, base+"/lab/calls")
	if err != nil {
		return nil, err
	}
	return calls, json.Unmarshal([]byte(text), &calls)
}

func fetch(ctx context.Context, url string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

func takeSample(ctx context.Context, pidFile string) (sample, error) {
	base := strings.TrimSuffix(pidFile, ".pid")
	pid, err := os.ReadFile(pidFile)
	if err != nil {
		return sample{}, err
	}
	admin, err := os.ReadFile(base + ".admin")
	if err != nil {
		return sample{}, err
	}
	stat, err := os.ReadFile("/proc/" + strings.TrimSpace(string(pid)) + "/stat")
	if err != nil {
		return sample{}, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	utime, _ := strconv.ParseFloat(fields[11], 64)
	stime, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	s := sample{cpu: (utime + stime) / clockTicks, rss: pages * float64(os.Getpagesize())}
	text, err := fetch(ctx, "http://"+strings.TrimSpace(string(admin))+"/metrics")
	for line := range strings.Lines(text) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok && strings.HasPrefix(name, "rockdoor_peer_bytes_") {
			n, _ := strconv.ParseFloat(value, 64)
			s.bytes += n
		}
	}
	return s, err
}

var (
	inForceLine  = regexp.MustCompile(`ts=(\S+).*msg="configuration in force" revision=(\d+)`)
	acceptedLine = regexp.MustCompile(`ts=(\S+).*msg="change accepted" revision=(\d+)`)
)

// printPropagationTimes prints, for each revision, how long after its acceptance it was in force at
// the processes. It relies on all processes running on the same machine, with one clock.
func printPropagationTimes(dir string) error {
	logs, err := filepath.Glob(filepath.Join(dir, "entry-*.log"))
	if err != nil {
		return err
	}
	accepted := map[int]time.Time{}
	inForce := map[int][]time.Time{}
	for _, name := range logs {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		for sc := bufio.NewScanner(f); sc.Scan(); {
			if m := acceptedLine.FindStringSubmatch(sc.Text()); m != nil {
				accepted[atoi(m[2])] = parseTime(m[1])
			}
			if m := inForceLine.FindStringSubmatch(sc.Text()); m != nil {
				inForce[atoi(m[2])] = append(inForce[atoi(m[2])], parseTime(m[1]))
			}
		}
		f.Close()
	}
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.AppendHeader(table.Row{"revision", "in force at", "p50 after acceptance", "max"})
	for rev := 1; accepted[rev] != (time.Time{}); rev++ {
		var ds []float64
		for _, at := range inForce[rev] {
			ds = append(ds, max(0, at.Sub(accepted[rev]).Seconds()*1000))
		}
		if len(ds) > 0 {
			t.AppendRow(table.Row{rev, len(ds), fmt.Sprintf("%.0f ms", median(ds)), fmt.Sprintf("%.0f ms", slices.Max(ds))})
		}
	}
	t.Render()
	return nil
}

func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

func parseTime(s string) time.Time {
	t, _ := time.Parse(time.RFC3339Nano, s)
	return t
}
