package cli

import (
	"net/http"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/internal/gatewayd"
)

func gatewayLimits() *cli.Command {
	return &cli.Command{
		Name: "limits", Usage: "list the instances that limit the rate of requests which they take",
		Description: example("The rate is what an instance takes from all gateways together. The keeper is the gateway that grants the requests,\n"+
			"PART what it may grant of each rate, as it hears the others. WANTED is what the gateway that is\n"+
			"asked would send there a second.",
			"rockdoor gateway limits --admin 10.1.0.22:9464"),
		Flags: []cli.Flag{adminFlag()},
		Action: func(c *cli.Context) error {
			var st gatewayd.LimitsStatus
			if _, err := call(c, http.MethodGet, "/limits", nil, nil, &st); err != nil {
				return err
			}
			t := newTable(c, "INSTANCE", "PER SECOND", "FOR", "LAST HEARD", "WANTED", "KEEPER", "PART")
			for _, l := range st.Limits {
				t.AppendRow([]any{l.Instance, short(l.PerSecond), seconds(l.ForMs), ago(l.HeardMs), short(l.Wanted), st.Keeper, short(st.Part)})
			}
			t.Render()
			return nil
		},
	}
}

func ago(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() + " ago" }
