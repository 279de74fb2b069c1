package cli

import (
	"net/http"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/internal/gatewayd"
)

func gatewayLimits() *cli.Command {
	return &cli.Command{
		Name: "limits", Usage: "list the instances that announce a rate limit",
		Description: withExample("The rate limit applies to the sum of the requests of all gateways. KEEPER is the gateway that coordinates the grants,\n"+
			"PART the share of each rate that it may grant, given the gateways that it can reach. WANTED is the rate at which\n"+
			"the queried gateway would send requests.",
			"rockdoor gateway limits --admin 10.1.0.22:9464"),
		Flags: []cli.Flag{adminFlag()},
		Action: func(c *cli.Context) error {
			var st gatewayd.LimitsStatus
			if _, err := call(c, http.MethodGet, "/limits", nil, nil, &st); err != nil {
				return err
			}
			t := newTable(c, "INSTANCE", "PER SECOND", "FOR", "LAST HEARD", "WANTED", "KEEPER", "PART")
			for _, l := range st.Limits {
				t.AppendRow([]any{l.Instance, formatNumber(l.PerSecond), formatSeconds(l.LimitedForMs), formatAgo(l.ReportAgeMs), formatNumber(l.DemandPerSecond), st.Coordinator, formatNumber(st.Share)})
			}
			t.Render()
			return nil
		},
	}
}

func formatAgo(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() + " ago" }
