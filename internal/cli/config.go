package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/confstore"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/admin"
	"github.com/rockdoor/rockdoor/internal/settings"
	"github.com/rockdoor/rockdoor/jsonc"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "check, read and change the configuration",
		Subcommands: []*cli.Command{
			{
				Name: "validate", Usage: "check configuration files without the fleet", ArgsUsage: "FILE...",
				Description: withExample("Reports every problem with file, line, column, path and remedy.", "rockdoor config validate deployment.json"),
				Flags:       []cli.Flag{&cli.BoolFlag{Name: "settings", Usage: "the files are process settings"}},
				Action:      validateFiles,
			},
			{
				Name: "get", Usage: "print the configuration in force",
				Description: withExample("Prints JSON that config apply accepts.", "rockdoor config get > now.json"),
				Flags:       []cli.Flag{adminFlag()}, Action: getConfig,
			},
			{
				Name: "diff", Usage: "compare a file with the configuration in force", ArgsUsage: "FILE",
				Description: withExample("Exits with 6 if there are differences.", "rockdoor config diff deployment.json"),
				Flags:       []cli.Flag{adminFlag()}, Action: diffConfig,
			},
			{
				Name: "apply", Usage: "replace the configuration", ArgsUsage: "FILE",
				Description: withExample("The change is accepted as a whole or not at all.\nWith --if-revision it is rejected if another change was accepted after that revision.",
					"rockdoor config apply deployment.json -m 'add engine 13' --if-revision 41"),
				Flags:  append(changeFlags(), &cli.Int64Flag{Name: "if-revision", Usage: "the `REVISION` that the change is based on"}),
				Action: applyConfig,
			},
			{
				Name: "history", Usage: "list accepted changes, newest first",
				Description: withExample("Each line has revision, time, change id, author and note.", "rockdoor config history -n 5"),
				Flags:       []cli.Flag{adminFlag(), &cli.IntFlag{Name: "limit", Aliases: []string{"n"}, Value: 20, Usage: "maximum number of changes"}},
				Action:      showHistory,
			},
			{
				Name: "schema", Usage: "print the JSON schema of the configuration or the settings",
				Description: withExample("Editors use it to check and complete files.", "rockdoor config schema > configuration.schema.json"),
				Flags:       []cli.Flag{&cli.BoolFlag{Name: "settings", Usage: "print the schema of the settings"}},
				Action: func(c *cli.Context) error {
					text := config.SchemaText()
					if c.Bool("settings") {
						text = settings.SchemaText()
					}
					_, err := c.App.Writer.Write(text)
					return err
				},
			},
		},
	}
}

func readFile(name string) ([]byte, error) {
	if name == "" {
		return nil, fault.New(fault.Invalid, "no file is given", "name a file")
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, "file cannot be read", "check its path and permissions")
	}
	return text, nil
}

func validateFiles(c *cli.Context) error {
	if c.NArg() == 0 {
		return fault.New(fault.Invalid, "no file is given", "name one or more files")
	}
	var all jsonc.Problems
	for _, name := range c.Args().Slice() {
		text, err := readFile(name)
		if err != nil {
			return err
		}
		if err = validateText(c, name, text); err == nil {
			fmt.Fprintf(c.App.Writer, "%s: ok\n", name)
			continue
		}
		ps := jsonc.ProblemsOf(err)
		if len(ps) == 0 {
			return err
		}
		all = append(all, ps...)
	}
	return all.Err()
}

func validateText(c *cli.Context, name string, text []byte) error {
	if c.Bool("settings") {
		_, err := settings.Parse(name, text)
		return err
	}
	_, _, err := config.Parse(name, text)
	return err
}

func getConfig(c *cli.Context) error {
	var cfg config.Config
	h, err := call(c, http.MethodGet, "/api/v1/config", nil, nil, &cfg)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.App.Writer, "// revision %s\n%s\n", h.Get("Rockdoor-Revision"), text)
	return err
}

func diffConfig(c *cli.Context) error {
	name := c.Args().First()
	text, err := readFile(name)
	if err != nil {
		return err
	}
	wanted, _, err := config.Parse(name, text)
	if err != nil {
		return err
	}
	var now config.Config
	if _, err := call(c, http.MethodGet, "/api/v1/config", nil, nil, &now); err != nil {
		return err
	}
	diff := cmp.Diff(&now, wanted)
	if diff == "" {
		return nil
	}
	fmt.Fprint(c.App.Writer, diff)
	return cli.Exit("the file differs from the configuration in force", ExitDifferent)
}

func applyConfig(c *cli.Context) error {
	name := c.Args().First()
	text, err := readFile(name)
	if err != nil {
		return err
	}
	if _, _, err := config.Parse(name, text); err != nil {
		return err
	}
	q := changeQuery(c)
	q.Set("file", name)
	if c.IsSet("if-revision") {
		q.Set("ifRevision", strconv.FormatInt(c.Int64("if-revision"), 10))
	}
	return sendChange(c, http.MethodPut, "/api/v1/config", q, text)
}

// sendChange sends a change and prints its revision.
func sendChange(c *cli.Context, method, path string, q url.Values, body []byte) error {
	var a admin.Accepted
	if _, err := call(c, method, path, q, body, &a); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.App.Writer, "accepted as revision %d, change %s\n", a.Revision, a.ChangeID)
	return err
}

func showHistory(c *cli.Context) error {
	var heads []confstore.Head
	q := url.Values{"limit": {strconv.Itoa(c.Int("limit"))}}
	if _, err := call(c, http.MethodGet, "/api/v1/config/history", q, nil, &heads); err != nil {
		return err
	}
	t := newTable(c, "REVISION", "TIME", "CHANGE", "AUTHOR", "NOTE")
	for _, h := range heads {
		t.AppendRow(table.Row{h.Revision, h.At.Format(time.RFC3339), h.ChangeID, h.Author, h.Note})
	}
	t.Render()
	return nil
}
