package cli

import (
	"context"
	"os"

	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/platform"
)

// rulesKey is the key of the rules in the platform's store.
const rulesKey = platform.RulesPrefix + "main"

func rulesCommand() *cli.Command {
	flags := []cli.Flag{&cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the platform's store", Required: true, EnvVars: []string{"ROCKDOOR_STORE"}}}
	return &cli.Command{
		Name: "rules", Usage: "manage the labels and selectors that restrict where the gateways' requests may run",
		Subcommands: []*cli.Command{
			{
				Name: "get", Usage: "print the rules in force", Flags: flags, Action: withStore(getRules),
				Description: withExample("Without rules, every instance is permitted.", "rockdoor rules get --store 10.200.1.7:8142"),
			},
			{
				Name: "apply", Usage: "replace the rules", ArgsUsage: "FILE", Flags: flags, Action: withStore(applyRules),
				Description: withExample("The file has labels by domain/NAME or service/NAME and selectors by route; the selector under * applies to all routes.\n"+
					"The rules take effect at all gateways within a few seconds.", "rockdoor rules apply --store 10.200.1.7:8142 rules.json"),
			},
			{
				Name: "remove", Usage: "remove the rules", Flags: flags, Action: withStore(removeRules),
				Description: withExample("Afterwards every instance is permitted.", "rockdoor rules remove --store 10.200.1.7:8142"),
			},
		},
	}
}

// withStore runs an action with a client of the platform's store.
func withStore(f func(context.Context, *cli.Context, objstore.Store) error) cli.ActionFunc {
	return func(c *cli.Context) error {
		ctx, cancel := context.WithTimeout(c.Context, clientTimeout)
		defer cancel()
		s := platform.NewStore(c.String("store"))
		defer s.Close()
		return f(ctx, c, s)
	}
}

func getRules(ctx context.Context, c *cli.Context, s objstore.Store) error {
	obj, err := s.Get(ctx, rulesKey)
	if err != nil {
		return err
	}
	_, err = c.App.Writer.Write(append(obj.Value, '\n'))
	return err
}

func applyRules(ctx context.Context, c *cli.Context, s objstore.Store) error {
	if c.NArg() != 1 {
		return fault.New(fault.Invalid, "no file given", "name one file with rules")
	}
	text, err := os.ReadFile(c.Args().First())
	if err != nil {
		return fault.Wrap(err, fault.NotFound, "rules cannot be read", "give the path of a file")
	}
	if _, err := fleet.ParseRules(text); err != nil {
		return err
	}
	obj, err := s.Get(ctx, rulesKey)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return err
	}
	_, err = objstore.PutSettled(ctx, s, rulesKey, text, obj.Version, ulid.Make().String())
	return err
}

func removeRules(ctx context.Context, _ *cli.Context, s objstore.Store) error {
	obj, err := s.Get(ctx, rulesKey)
	if err != nil {
		return err
	}
	return s.Delete(ctx, rulesKey, obj.Version)
}
