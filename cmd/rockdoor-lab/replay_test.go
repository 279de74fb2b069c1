package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v2"
)

func runLab(args ...string) (string, error) {
	var out bytes.Buffer
	app := &cli.App{Name: "rockdoor-lab", Writer: &out, Commands: []*cli.Command{replayCommand()}, ExitErrHandler: func(*cli.Context, error) {}}
	err := app.Run(append([]string{"rockdoor-lab"}, args...))
	return out.String(), err
}

func TestCompareCommandPrintsATable(t *testing.T) {
	out, err := runLab("replay", "--compare", "--seeds", "2", "--scenario", "faults", "--without", "fetch", "--without", "queue-limit")
	require.NoError(t, err)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 3, out)
	require.Contains(t, lines[0], "standard error")
	require.Len(t, strings.Fields(lines[1]), 6, "scenario, mechanism, with, without, difference, error")
	require.Contains(t, lines[2], "the same outcomes")
}

func TestCompareCommandListsValidNames(t *testing.T) {
	_, err := runLab("replay", "--compare", "--without", "luck")
	require.ErrorContains(t, err, `there is no "luck", only apart, `)
	_, err = runLab("replay", "--compare", "--scenario", "calm")
	require.ErrorContains(t, err, "long-prompts")
	_, err = runLab("replay", "--compare", "--seeds", "0")
	require.Error(t, err)
}
