package cli

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/internal/gatewayd"
)

func gatewayQuarantine() *cli.Command {
	return &cli.Command{
		Name: "quarantine", Usage: "list requests and parts of prompts that have crashed instances, or release one",
		Description: withExample("A request is rejected after it has crashed three instances, and so are requests with a part that has. With --clear it may run again at all gateways.",
			"rockdoor gateway quarantine --admin 10.1.0.22:9464"),
		Flags: []cli.Flag{adminFlag(), &cli.StringFlag{Name: "clear", Usage: "`FINGERPRINT` of the request or part that may run again"}},
		Action: func(c *cli.Context) error {
			if f := c.String("clear"); f != "" {
				_, err := call(c, http.MethodDelete, "/quarantine/"+url.PathEscape(f), nil, nil, nil)
				return err
			}
			var all []gatewayd.SuspectStatus
			if _, err := call(c, http.MethodGet, "/quarantine", nil, nil, &all); err != nil {
				return err
			}
			t := newTable(c, "KIND", "FINGERPRINT", "REFUSED FOR", "LAST END", "ENDED")
			for _, s := range all {
				refused := "-"
				if s.Refused {
					refused = formatSeconds(s.RefusedForMs)
				}
				t.AppendRow([]any{s.Kind, s.Fingerprint, refused, formatSeconds(s.SinceLastCrashMs) + " ago", strings.Join(s.CrashedInstances, " ")})
			}
			t.Render()
			return nil
		},
	}
}

func formatSeconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}
