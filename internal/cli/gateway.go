package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/gateway"
	"github.com/rockdoor/rockdoor/internal/gatewayd"
	"github.com/rockdoor/rockdoor/internal/logsink"
	"github.com/rockdoor/rockdoor/internal/settings"
	"github.com/rockdoor/rockdoor/internal/trace"
	"github.com/rockdoor/rockdoor/placement"
)

// logFlushTimeout is how long an exiting process waits for its last log lines to be
// written.
const logFlushTimeout = 200 * time.Millisecond

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name: "gateway", Usage: "run and inspect gateways on the users' platform",
		Subcommands: []*cli.Command{gatewayServe(), gatewayCheck(), gatewayStatus(), gatewayExplain(), gatewayQuarantine(), gatewayLimits(), gatewayProfiles(), gatewayShares(), gatewayCapacity()},
	}
}

func gatewayServe() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one gateway process until SIGTERM or SIGINT",
		Description: withExample("Serves client requests with the configuration and the instances that are registered in the platform's store.\n"+
			"SIGTERM shuts the process down gracefully; SIGHUP reloads the settings.", "rockdoor gateway serve --settings gateway.json"),
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE`, JSON with comments", Required: true}},
		Action: func(c *cli.Context) error {
			file := c.String("settings")
			set, err := settings.LoadGateway(file)
			if err != nil {
				return err
			}
			sink := logsink.New(os.Stdout, set.Log.LinesPerSecond)
			defer sink.Close(logFlushTimeout)
			logger := log.With(log.NewLogfmtLogger(sink), "ts", log.DefaultTimestampUTC)
			logger = level.NewFilter(logger, level.Allow(level.ParseDefault(set.Log.Level, level.DebugValue())))
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return gatewayd.New(set, file, logger, sink).Run(ctx, reloadSignals())
		},
	}
}

func gatewayCheck() *cli.Command {
	return &cli.Command{
		Name: "check-settings", Usage: "check a settings file without starting a gateway", ArgsUsage: "FILE",
		Description: withExample("Reports all problems at once, with the key and the remedy, and prints the settings with their defaults.",
			"rockdoor gateway check-settings gateway.json"),
		Action: func(c *cli.Context) error {
			if c.NArg() != 1 {
				return fault.New(fault.Invalid, "no file given", "name one settings file")
			}
			set, err := settings.LoadGateway(c.Args().First())
			if err != nil {
				return err
			}
			return writeIndented(c, set)
		},
	}
}

func writeIndented(c *cli.Context, v any) error {
	enc := json.NewEncoder(c.App.Writer)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func gatewayStatus() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the state of a running gateway",
		Description: withExample("Shows readiness, the version in force and its age, the reachable gateways, and each instance with its load.",
			"rockdoor gateway status --admin 10.1.0.22:9464"),
		Flags: []cli.Flag{adminFlag()},
		Action: func(c *cli.Context) error {
			var st gatewayd.Status
			if _, err := call(c, http.MethodGet, "/status", nil, nil, &st); err != nil {
				return err
			}
			fmt.Fprintf(c.App.Writer, "%s  ready %t  in hand %d  configuration %d (%d ms old)  instances %d ms old  store up %t, era %d  scheduler %t  %d processes, %d schedulers, %d of the others heard, watchers %s\n\n",
				st.Name, st.Ready, st.InFlight, st.Config, st.ConfigAgeMs, st.InstancesAgeMs, st.StoreUp, st.Era, st.Scheduling, st.Members, len(st.Schedulers), len(st.ReachableSchedulers), strings.Join(st.Watchers, ", "))
			if st.CutPaths > 0 || st.RelayedConnections > 0 {
				fmt.Fprintf(c.App.Writer, "%d instances are reached only through peers, last through %s; %d connections are relayed for others\n\n", st.CutPaths, st.LastHelper, st.RelayedConnections)
			}
			for _, r := range st.Rejects {
				fmt.Fprintf(c.App.Writer, "ignored: %q, revision %d: %s\n", r.Key, r.Version, r.Reason)
			}
			t := newTable(c, "INSTANCE", "SERVICE", "DOMAIN", "ROLE", "STATE", "REQUESTS", "STARTING", "PROMPTS", "LATE")
			for _, i := range st.Instances {
				t.AppendRow([]any{i.ID, i.Service, i.Domain, i.Role, instanceState(i), i.Load.Requests, i.Load.Starting, i.Load.Pending.All().Prompts, i.Load.Pending.Late().Prompts})
			}
			t.SortBy([]table.SortBy{{Name: "SERVICE"}, {Name: "INSTANCE"}})
			t.Render()
			return nil
		},
	}
}

func instanceState(i gatewayd.InstanceStatus) string {
	switch {
	case i.Draining:
		return "draining"
	case i.Expired:
		return "lapsed"
	case i.Changing:
		return "changing role"
	case i.ShuttingDown:
		return "shutting down"
	case i.BackoffMs > 0:
		return fmt.Sprintf("asked for a pause, %d ms left", i.BackoffMs)
	case len(i.Suspensions) > 0:
		return describeSuspensions(i.Suspensions)
	case i.Cut:
		return "reached through peers"
	}
	return "ready"
}

// describeSuspensions returns the reasons of suspensions, with their evidence, age and next probe.
func describeSuspensions(all []placement.Suspension) string {
	var out []string
	for _, s := range all {
		probe := "no probe"
		if !s.NextProbe.IsZero() {
			probe = "probe in " + max(time.Until(s.NextProbe), 0).Round(time.Millisecond).String()
		}
		out = append(out, fmt.Sprintf("%s (%s) for %s, %s", s.Reason, s.Evidence, time.Since(s.Since).Round(time.Millisecond), probe))
	}
	return strings.Join(out, "; ")
}

func gatewayExplain() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show where a request would run now and why other instances are excluded",
		Description: withExample("Shows, for each instance, its load, the estimates and the score (the lowest of a role wins), or the rule that excludes it.",
			"rockdoor gateway explain --admin 10.1.0.22:9464 --host shop.example --path /review/ --prompt 9000 --shared 6300"),
		Flags: []cli.Flag{
			adminFlag(),
			&cli.StringFlag{Name: "host", Usage: "host `NAME` of the request", Required: true},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request", Required: true},
			&cli.StringFlag{Name: "id", Usage: "request `ID`, which decides the service of a split route"},
			&cli.StringFlag{Name: "subject", Usage: "`ID` of the last shared part of the prompt"},
			&cli.StringFlag{Name: "resumes", Usage: "`ID` of the attempt that began the stream which the request resumes"},
			&cli.StringFlag{Name: "workspace", Usage: "`NAME` of the client's workspace, for --resumes"},
			&cli.IntFlag{Name: "prompt", Usage: "`TOKENS` of the prompt"},
			&cli.IntFlag{Name: "shared", Usage: "`TOKENS` of the prompt in parts that other requests share"},
		},
		Action: func(c *cli.Context) error {
			q := url.Values{}
			for _, name := range []string{"host", "path", "id", "subject", "resumes", "workspace"} {
				q.Set(name, c.String(name))
			}
			for _, name := range []string{"prompt", "shared"} {
				q.Set(name, strconv.Itoa(c.Int(name)))
			}
			var e gateway.Explanation
			if _, err := call(c, http.MethodGet, "/explain", q, nil, &e); err != nil {
				return err
			}
			fmt.Fprintf(c.App.Writer, "route %s, service %s, configuration %d (%d ms old), instances %d ms old\nplan: %s\nhangs after: %d ms (0: never given up)\n\n", e.Route, e.Service, e.Config, e.ConfigAgeMs, e.InstancesAgeMs, e.Plan, e.HangMs)
			if r := e.Resumption; r != nil {
				fmt.Fprintf(c.App.Writer, "stream: known by %s, service %q, software %q\n\n", r.KnownBy, r.Service, r.Software)
			}
			t := newTable(c, "INSTANCE", "DOMAIN", "SOFTWARE", "ROLE", "SCORE", "AHEAD MS", "READ MS", "UNCACHED", "REQUESTS", "PACE", "SPEEDS", "FAILURES", "WHY NOT")
			for _, i := range e.Considered {
				t.AppendRow([]any{i.Instance, i.Domain, i.Software, i.Role, formatNumber(i.Score), formatNumber(i.QueueDelayMs), formatNumber(i.PrefillMs), i.Uncached, i.Load.Requests, formatNumber(i.Slowdown), formatSpeeds(i.PrefillSpeed, i.DecodeSpeed), formatNumber(i.FailureRate), i.Unavailable})
			}
			for _, r := range e.Rejected {
				t.AppendRow([]any{r.Instance, "", "", "", "", "", "", "", "", "", "", "", "forbidden by " + r.Rule})
			}
			for _, id := range e.Draining {
				t.AppendRow([]any{id, "", "", "", "", "", "", "", "", "", "", "", "draining"})
			}
			t.Render()
			return nil
		},
	}
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }

func traceCommand() *cli.Command {
	return &cli.Command{
		Name: "trace", Usage: "reconstruct one request from logs, or summarize failed requests", ArgsUsage: "[ID] FILE...",
		Description: withExample("Reads the logs of several gateways and prints, in order, the events that concern the request and the state of its process,\n"+
			"then the cause and the remedy. A FILE of - is standard input. With --summary, and without an ID, it prints the number\n"+
			"of failed requests by route, outcome, phase and error, with the ID of one of each, and the share of each workspace's\n"+
			"requests that were served, lowest share first; that needs logs of level debug.",
			"rockdoor trace 9c41d07be2a35f68 edge-*.log\n   rockdoor trace --summary edge-*.log\n   rockdoor trace --reach edge-*.log"),
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "summary", Usage: "group the failed requests"},
			&cli.BoolFlag{Name: "reach", Usage: "print how long each change took to propagate to the processes"},
		},
		Action: func(c *cli.Context) error {
			if c.Bool("reach") {
				return traceReach(c)
			}
			if c.Bool("summary") {
				return traceSummary(c)
			}
			if c.NArg() < 2 {
				return fault.New(fault.Invalid, "too few arguments", "give a request ID and log files")
			}
			id := c.Args().First()
			lines, err := readLogs(c.Args().Tail(), id)
			if err != nil {
				return err
			}
			rt, err := trace.ForRequest(lines, id)
			if err != nil {
				return err
			}
			return rt.Write(c.App.Writer)
		},
	}
}

// readLogArgs reads the log files in the arguments of a command.
func readLogArgs(c *cli.Context) ([]trace.Line, error) {
	if c.NArg() < 1 {
		return nil, fault.New(fault.Invalid, "too few arguments", "give log files")
	}
	return readLogs(c.Args().Slice(), "")
}

func traceReach(c *cli.Context) error {
	lines, err := readLogArgs(c)
	if err != nil {
		return err
	}
	t := newTable(c, "FIRST", "CHANGE", "ID", "PROCESSES", "HALF AFTER", "LAST AFTER", "LAST PROCESS", "ITS LAST TROUBLE")
	for _, ch := range trace.Propagation(lines) {
		t.AppendRow([]any{ch.First.Format(time.TimeOnly), ch.What, ch.ID, ch.Processes, ch.Half.Round(time.Millisecond), ch.Last.Round(time.Millisecond), ch.LastProcess, ch.LastReason})
	}
	t.Render()
	return nil
}

func traceSummary(c *cli.Context) error {
	lines, err := readLogArgs(c)
	if err != nil {
		return err
	}
	t := newTable(c, "REQUESTS", "ROUTE", "SERVICE", "OUTCOME", "PHASE", "ERROR", "FIRST")
	for _, g := range trace.Summarize(lines) {
		t.AppendRow([]any{g.Count, g.Route, g.Service, g.Outcome, g.Phase, g.Error, g.ExampleID})
	}
	t.Render()
	workspaceSummary(c, lines)
	return nil
}

// maxSummaryWorkspaces is the maximum number of workspaces in a summary, so that it fits on one
// screen. The workspaces with the lowest share of served requests are shown.
const maxSummaryWorkspaces = 20

// workspaceSummary prints the outcomes of the requests by workspace, if the logs have any.
func workspaceSummary(c *cli.Context, lines []trace.Line) {
	each, all := trace.ByWorkspace(lines)
	if len(each) == 0 {
		return
	}
	t := newTable(c, "WORKSPACE", "REQUESTS", "SERVED", "REFUSED", "FAILED", "SHARE SERVED")
	add := func(name string, w trace.WorkspaceOutcomes) {
		t.AppendRow([]any{name, w.Requests, w.Served, w.Refused, w.Failed, strconv.FormatFloat(w.ShareServed(), 'f', 3, 64)})
	}
	for _, w := range each[:min(len(each), maxSummaryWorkspaces)] {
		add(w.Name, w)
	}
	if more := len(each) - maxSummaryWorkspaces; more > 0 {
		t.AppendRow([]any{"(" + strconv.Itoa(more) + " more)"})
	}
	add("(all)", all)
	t.Render()
}

// readLogs reads several logs without the lines that concern requests other than id. If id is
// empty, it reads all lines.
func readLogs(files []string, id string) ([]trace.Line, error) {
	var lines []trace.Line
	for _, file := range files {
		more, err := readLog(file, id)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func readLog(file, id string) ([]trace.Line, error) {
	if file == "-" {
		return trace.Read(os.Stdin, id)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "log cannot be read", "give the path of a log file")
	}
	defer f.Close()
	return trace.Read(f, id)
}

// reloadSignals returns a channel that receives a value for each SIGHUP.
func reloadSignals() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{})
	go func() {
		for range signals {
			out <- struct{}{}
		}
	}()
	return out
}
