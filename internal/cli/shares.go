package cli

import (
	"context"
	"net/http"
	"os"

	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/sharesync"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/platform"
	"github.com/rockdoor/rockdoor/shares"
)

func sharesCommand() *cli.Command {
	flags := []cli.Flag{&cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the platform's store", Required: true, EnvVars: []string{"ROCKDOOR_STORE"}}}
	return &cli.Command{
		Name: "shares", Usage: "show or set the workspaces' shares of engine time at the gateways", Action: withStore(getShares),
		// The flag is not required here, or it would have to be given before the name of a subcommand too.
		Flags:       []cli.Flag{&cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the platform's store", EnvVars: []string{"ROCKDOOR_STORE"}}},
		Description: withExample("Prints the settings in force. Without settings, all workspaces have the weight 1.", "rockdoor shares --store 10.200.1.7:8142"),
		Subcommands: []*cli.Command{
			{
				Name: "apply", Usage: "replace the settings", ArgsUsage: "FILE", Flags: flags, Action: withStore(applyShares),
				Description: withExample("The file has the workspaces that differ from the others, each with a weight (1 if it is not given), and the least (floor)\n"+
					"and greatest (cap) part of a service's engine time while there is too little of it:\n"+
					`{"workspaces": {"hospital": {"weight": 3, "floor": 0.1}, "trial": {"cap": 0.05}}}`+"\n"+
					"The settings take effect at all schedulers within ten seconds.", "rockdoor shares apply --store 10.200.1.7:8142 shares.json"),
			},
			{
				Name: "remove", Usage: "remove the settings", Flags: flags, Action: withStore(removeShares),
				Description: withExample("Afterwards all workspaces have the weight 1.", "rockdoor shares remove --store 10.200.1.7:8142"),
			},
		},
	}
}

// sharesKey is the key of the settings in the platform's store.
var sharesKey = sharesync.SettingsKey(platform.SharesPrefix)

func getShares(ctx context.Context, c *cli.Context, s objstore.Store) error {
	if c.String("store") == "" {
		return fault.New(fault.Invalid, "no store given", "name the platform's store with --store")
	}
	obj, err := s.Get(ctx, sharesKey)
	if err != nil {
		return err
	}
	_, err = c.App.Writer.Write(append(obj.Value, '\n'))
	return err
}

func applyShares(ctx context.Context, c *cli.Context, s objstore.Store) error {
	if c.NArg() != 1 {
		return fault.New(fault.Invalid, "no file given", "name one file with shares")
	}
	text, err := os.ReadFile(c.Args().First())
	if err != nil {
		return fault.Wrap(err, fault.NotFound, "shares cannot be read", "give the path of a file")
	}
	if _, err := shares.ParseStrict(text); err != nil {
		return err
	}
	obj, err := s.Get(ctx, sharesKey)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return err
	}
	_, err = objstore.PutSettled(ctx, s, sharesKey, text, obj.Version, ulid.Make().String())
	return err
}

func removeShares(ctx context.Context, _ *cli.Context, s objstore.Store) error {
	obj, err := s.Get(ctx, sharesKey)
	if err != nil {
		return err
	}
	return s.Delete(ctx, sharesKey, obj.Version)
}

func gatewayShares() *cli.Command {
	return &cli.Command{
		Name: "shares", Usage: "list the workspaces by their use of engine time",
		Description: withExample("DEMAND, SHARE, GRANTED and REFUSED (by this gateway) are numbers of engines that work all the time, over the last seconds and all schedulers.\n"+
			"While a service is tight, a workspace that asks for more than its share borrows what others leave; prompts that\n"+
			"would not be prefilled in time are refused. Ask a gateway that decides.",
			"rockdoor gateway shares --admin 10.1.0.22:9464"),
		Flags: []cli.Flag{adminFlag()},
		Action: func(c *cli.Context) error {
			var services []placement.ServiceShares
			if _, err := call(c, http.MethodGet, "/shares", nil, nil, &services); err != nil {
				return err
			}
			t := newTable(c, "SERVICE", "TIGHT", "WORKSPACE", "DEMAND", "SHARE", "GRANTED", "PENDING MS", "STATE", "REFUSED")
			for _, s := range services {
				for _, w := range s.Workspaces {
					t.AppendRow([]any{s.Service, s.Tight, w.Workspace, formatNumber(w.Demand), formatNumber(w.Share), formatNumber(w.Granted), formatNumber(w.PendingMs), w.State, formatNumber(w.Refused)})
				}
			}
			t.Render()
			return nil
		},
	}
}
