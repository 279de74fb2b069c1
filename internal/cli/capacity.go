package cli

import (
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/internal/gatewayd"
	"github.com/rockdoor/rockdoor/internal/scaler"
)

func gatewayCapacity() *cli.Command {
	return &cli.Command{
		Name: "capacity", Usage: "show why so many engines are ordered",
		Description: withExample("Shows the measured work, its peak, the number of engines that it needs, and the targets in each failure domain.\n"+
			"Prefill is in busy engines, decode in busy slots. Ask the gateway that holds the duty to order engines.",
			"rockdoor gateway capacity --admin 10.1.0.22:9464"),
		Flags: []cli.Flag{adminFlag()},
		Action: func(c *cli.Context) error {
			var st gatewayd.CapacityStatus
			if _, err := call(c, http.MethodGet, "/capacity", nil, nil, &st); err != nil {
				return err
			}
			fmt.Fprintf(c.App.Writer, "engines ordered by demand %t, this gateway holds the duty %t\n", st.ByDemand, st.HasDuty)
			for _, s := range st.Services {
				writeCapacity(c, &s)
			}
			return nil
		},
	}
}

func writeCapacity(c *cli.Context, s *scaler.ServiceStatus) {
	fmt.Fprintf(c.App.Writer, "\n%s  decided %s ago  needed %d, after the loss of a domain's spot engines %d  prefill %s (peak %s)  decode %s (peak %s)  observed %s  known %t  releasing %t\n",
		s.Service, time.Since(s.At).Round(time.Second), s.Needed, s.AfterLoss, formatNumber(s.Latest.Prefill), formatNumber(s.Peak.Prefill), formatNumber(s.Latest.Decode), formatNumber(s.Peak.Decode),
		formatDemandAge(s.DemandAgeMs), s.Known, s.Releasing)
	t := newTable(c, "DOMAIN", "ON DEMAND", "TARGET", "SPOT", "TARGET", "SPOT AVAILABLE")
	for _, d := range s.Domains {
		t.AppendRow([]any{d.Domain, d.OnDemand, d.OnDemandTarget, d.Spot, d.SpotTarget, !d.Unavailable})
	}
	t.Render()
}

func formatDemandAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return formatAgo(ms)
}
