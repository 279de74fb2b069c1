package cli

import (
	"cmp"
	"net/http"

	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/internal/gatewayd"
)

func gatewayProfiles() *cli.Command {
	return &cli.Command{
		Name: "profiles", Usage: "list the measured speeds of engines",
		Description: withExample("PREFILL and DECODE are speeds relative to the service's typical engine, each with the number of samples behind it.\n"+
			"USED is true if requests are placed by them, which is the case if the engines of the service differ beyond noise.\n"+
			"Only schedulers measure engines.",
			"rockdoor gateway profiles --admin 10.1.0.22:9464"),
		Flags: []cli.Flag{adminFlag()},
		Action: func(c *cli.Context) error {
			var st gatewayd.ProfilesStatus
			if _, err := call(c, http.MethodGet, "/profiles", nil, nil, &st); err != nil {
				return err
			}
			t := newTable(c, "ENGINE", "SERVICE", "CLASS", "PREFILL", "SAMPLES", "DECODE", "SAMPLES", "USED")
			for _, e := range st.Engines {
				t.AppendRow([]any{e.Engine, e.Service, e.Class, formatNumber(e.PrefillSpeed), formatNumber(e.PrefillSamples), formatNumber(e.DecodeSpeed), formatNumber(e.DecodeSamples), e.Used})
			}
			t.Render()
			return nil
		},
	}
}

// formatSpeeds formats the prefill and the decode speed of an engine, which are 0 if they are not used.
func formatSpeeds(prefill, decode float64) string {
	if prefill == 0 && decode == 0 {
		return ""
	}
	return formatNumber(cmp.Or(prefill, 1)) + " " + formatNumber(cmp.Or(decode, 1))
}
