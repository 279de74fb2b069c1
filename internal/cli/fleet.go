package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/confstore"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/admin"
	"github.com/rockdoor/rockdoor/internal/controller"
	"github.com/rockdoor/rockdoor/internal/entry"
	"github.com/rockdoor/rockdoor/selector"
)

const watchInterval = time.Second

func newTable(c *cli.Context, columns ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(c.App.Writer)
	t.SetStyle(table.StyleLight)
	t.Style().Options.DrawBorder = false
	t.Style().Options.SeparateColumns = false
	t.Style().Options.SeparateHeader = false
	t.AppendHeader(table.Row(columns))
	return t
}

func labelCommand() *cli.Command {
	return &cli.Command{
		Name: "label", Usage: "set or remove labels", ArgsUsage: "host|engine|server NAME KEY=VALUE|KEY-...",
		Description: withExample("KEY=VALUE sets a label, KEY- removes it. Concurrent edits of other objects are kept.",
			"rockdoor label engine lm-1 tier=gold spare-"),
		Flags: changeFlags(), Action: editLabels,
	}
}

func editLabels(c *cli.Context) error {
	args := c.Args().Slice()
	if len(args) < 3 {
		return fault.New(fault.Invalid, "too few arguments", "give host, engine or server, a name, and labels such as tier=gold")
	}
	e := confstore.Edit{Kind: args[0], Name: args[1], SetLabels: selector.Labels{}}
	for _, a := range args[2:] {
		if k, v, ok := strings.Cut(a, "="); ok {
			e.SetLabels[k] = v
		} else if k, ok := strings.CutSuffix(a, "-"); ok {
			e.RemoveLabels = append(e.RemoveLabels, k)
		} else {
			return fault.Newf(fault.Invalid, "write KEY=VALUE to set a label or KEY- to remove it", "argument %q is not a label", a)
		}
	}
	return sendEdits(c, e)
}

func sendEdits(c *cli.Context, edits ...confstore.Edit) error {
	body, err := json.Marshal(edits)
	if err != nil {
		return err
	}
	return sendChange(c, http.MethodPost, "/api/v1/edits", changeQuery(c), body)
}

func engineCommand() *cli.Command {
	state := func(name, usage, text string, st config.ServerState) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage, ArgsUsage: "NAME...",
			Description: withExample(text, "rockdoor engine "+name+" lm-1 -m 'kernel update'"),
			Flags:       append(changeFlags(), serverFlag()),
			Action:      func(c *cli.Context) error { return setStates(c, st) },
		}
	}
	return &cli.Command{
		Name: "engine", Usage: "drain, replace, withdraw or change the role of engines and backend servers",
		Subcommands: []*cli.Command{
			state("drain", "send no new requests", "In-flight requests are completed.", config.Draining),
			state("undrain", "send requests again", "Also reactivates a withdrawn engine.", config.Active),
			state("withdraw", "send neither requests nor orders", "In-flight requests are completed.", config.Withdrawn),
			{
				Name: "replace", Usage: "replace an engine by another one", ArgsUsage: "NAME",
				Description: withExample("The name keeps its labels and rules; new requests go to the new address.",
					"rockdoor engine replace lm-1 --address 10.0.0.9:8000 --host host-9"),
				Flags: append(changeFlags(), serverFlag(),
					&cli.StringFlag{Name: "address", Usage: "`ADDRESS` of the new engine", Required: true},
					&cli.StringFlag{Name: "host", Usage: "`HOST` of the new engine, if the host changes"}),
				Action: func(c *cli.Context) error {
					name, err := singleName(c)
					if err != nil {
						return err
					}
					return sendEdits(c, confstore.Edit{
						Kind: editKind(c), Name: name, Address: c.String("address"), Host: c.String("host"), State: config.Active,
					})
				},
			},
			{
				Name: "role", Usage: "set the role of an engine", ArgsUsage: "NAME mixed|prefill|decode|auto",
				Description: withExample("With auto, rockdoor decides the role. The engine is unavailable during a change.", "rockdoor engine role lm-1 decode"),
				Flags:       changeFlags(), Action: setRole,
			},
		},
	}
}

func serverFlag() cli.Flag {
	return &cli.BoolFlag{Name: "server", Usage: "the names are backend servers of a service"}
}

func editKind(c *cli.Context) string {
	if c.Bool("server") {
		return confstore.KindServer
	}
	return confstore.KindEngine
}

func singleName(c *cli.Context) (string, error) {
	if c.NArg() != 1 {
		return "", fault.New(fault.Invalid, "give one name", "rockdoor status lists the names")
	}
	return c.Args().First(), nil
}

func setStates(c *cli.Context, st config.ServerState) error {
	if c.NArg() == 0 {
		return fault.New(fault.Invalid, "no name is given", "rockdoor status lists the names")
	}
	var edits []confstore.Edit
	for _, name := range c.Args().Slice() {
		edits = append(edits, confstore.Edit{Kind: editKind(c), Name: name, State: st})
	}
	return sendEdits(c, edits...)
}

func setRole(c *cli.Context) error {
	if c.NArg() != 2 {
		return fault.New(fault.Invalid, "give a name and a role", "roles are mixed, prefill, decode and auto")
	}
	role := engine.Role(c.Args().Get(1))
	if role == "auto" {
		role = ""
	}
	return sendEdits(c, confstore.Edit{Kind: confstore.KindEngine, Name: c.Args().First(), Role: &role})
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the fleet as known to one process",
		Description: withExample("Shows processes, engines and backend servers.", "rockdoor status --watch"),
		Flags: []cli.Flag{
			adminFlag(),
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "table or json"},
			&cli.BoolFlag{Name: "watch", Aliases: []string{"w"}, Usage: "refresh every second"},
		},
		Action: func(c *cli.Context) error {
			for {
				if err := showStatus(c); err != nil || !c.Bool("watch") {
					return err
				}
				time.Sleep(watchInterval)
			}
		},
	}
}

func showStatus(c *cli.Context) error {
	var st admin.Status
	if _, err := call(c, http.MethodGet, "/api/v1/status", nil, nil, &st); err != nil {
		return err
	}
	switch c.String("output") {
	case "json":
		return printJSON(c, st)
	case "table":
		printStatus(c, st)
		return nil
	}
	return fault.Newf(fault.Invalid, "use table or json", "output %q is not supported", c.String("output"))
}

func printJSON(c *cli.Context, v any) error {
	enc := json.NewEncoder(c.App.Writer)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func printStatus(c *cli.Context, st admin.Status) {
	fmt.Fprintf(c.App.Writer, "seen by %s   revision %d   change %s   fresh %t\n\n", st.Process, st.Revision, st.ChangeID, st.Fresh)
	t := newTable(c, "PROCESS", "HOST", "DOMAIN", "LISTEN", "HEALTH", "REVISION")
	for _, m := range st.Members {
		revision := m.ConfigRevision
		if m.Self {
			revision = st.Revision
		}
		t.AppendRow(table.Row{m.Name, m.Host, m.Domain, m.Listen, m.Health, revision})
	}
	t.Render()
	fmt.Fprintln(c.App.Writer)
	if len(st.Pools) > 0 {
		t = newTable(c, "POOL", "CONTROLLER", "TOKEN", "WAITS FOR")
		for _, p := range st.Pools {
			t.AppendRow(table.Row{p.Pool, controllerText(p), p.Token, p.Waiting})
		}
		t.Render()
		fmt.Fprintln(c.App.Writer)
	}
	t = newTable(c, "TARGET", "KIND", "HOST", "DOMAIN", "STATE", "ROLE", "REQUESTS", "REPORT")
	for _, e := range st.Targets {
		t.AppendRow(table.Row{e.Name, e.Kind, e.Host, e.Domain, e.State, roleText(e), e.Requests, e.Report})
	}
	t.Render()
}

func controllerText(p controller.PoolStatus) string {
	if p.Held {
		return "this process"
	}
	return "stands by"
}

func roleText(e admin.TargetStatus) string {
	role := string(e.Role)
	if e.Changing {
		role += " (changing)"
	}
	if e.Order != "" {
		role += " (order " + e.Order + ")"
	}
	if e.WantedRole != "" && e.WantedRole != e.Role {
		role += " -> " + string(e.WantedRole)
	}
	return role
}

func leaseCommand() *cli.Command {
	return &cli.Command{
		Name: "lease", Usage: "manage the leases of controllers",
		Subcommands: []*cli.Command{{
			Name: "vouch", Usage: "vouch that a run of a process has terminated", ArgsUsage: "INCARNATION",
			Description: withExample("The next holder then takes over without waiting for the lease to expire. Only do this for a process that\n"+
				"can never run again, for instance on a host that was switched off. The command is logged.", "rockdoor lease vouch 01J9Z3NDEKTSV4RRFFQ69G5FAV"),
			Flags: changeFlags(),
			Action: func(c *cli.Context) error {
				if c.NArg() != 1 {
					return fault.New(fault.Invalid, "no incarnation is given", "rockdoor status -o json shows the incarnations")
				}
				body, err := json.Marshal(admin.Vouch{Incarnation: c.Args().First(), By: c.String("author")})
				if err != nil {
					return err
				}
				_, err = call(c, http.MethodPost, "/api/v1/vouch", nil, body, nil)
				return err
			},
		}},
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show where a request would run and why other targets are excluded, without running it",
		Description: withExample("Shows each target with its score, or the rule that excludes it.",
			"rockdoor explain --workspace palermo --model rule-review --selector 'domain=catania-1'"),
		Flags: []cli.Flag{
			adminFlag(),
			&cli.StringFlag{Name: "workspace", Required: true, Usage: "`NAME` of the workspace"},
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model"},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of a request to a service"},
			&cli.StringFlag{Name: "selector", Usage: "selector of the request"},
			&cli.IntFlag{Name: "prompt-tokens", Value: 1000, Usage: "size of the prompt, in tokens"},
			&cli.IntFlag{Name: "output-tokens", Value: 128, Usage: "size of the response, in tokens"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "table or json"},
		},
		Action: explain,
	}
}

func explain(c *cli.Context) error {
	body, err := json.Marshal(entry.ExplainRequest{
		Workspace: c.String("workspace"), Model: c.String("model"), Path: c.String("path"), Selector: c.String("selector"),
		PromptTokens: c.Int("prompt-tokens"), OutputTokens: c.Int("output-tokens"),
	})
	if err != nil {
		return err
	}
	var e entry.Explanation
	if _, err := call(c, http.MethodPost, "/api/v1/explain", nil, body, &e); err != nil {
		return err
	}
	if c.String("output") == "json" {
		return printJSON(c, e)
	}
	chosen := e.Chosen
	if chosen == "" {
		chosen = "nowhere"
	}
	fmt.Fprintf(c.App.Writer, "would run at %s   policy %s   revision %d\n", chosen, e.Policy, e.Revision)
	if e.Entry != "" {
		fmt.Fprintf(c.App.Writer, "but not through this entry host: %s\n", e.Entry)
	}
	t := newTable(c, "TARGET", "DOMAIN", "SCORE", "LOAD", "BROKEN", "NOT PERMITTED BY")
	for _, v := range e.Targets {
		t.AppendRow(table.Row{v.Target, v.Domain, fmt.Sprintf("%.4f", v.Score), v.Load, v.Broken, v.Rule})
	}
	t.Render()
	return nil
}
