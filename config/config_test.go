package config

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/jsonc"
)

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/configuration.json")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, f := range files {
		text, err := os.ReadFile(f)
		require.NoError(t, err)
		c, compiled, err := Parse(f, text)
		require.NoError(t, err)
		require.Len(t, c.Engines, 12)
		require.Equal(t, Active, c.Engines[0].State)
		require.Equal(t, 48, c.Engines[0].Capacity)
		require.NotEmpty(t, compiled.Routes)
	}
}

func TestInvalidFilesReportEveryProblem(t *testing.T) {
	for file, want := range map[string][]string{
		"syntax.json": {"syntax.json:3:19: /"},
		"fields.json": {
			`fields.json:2:44: /hosts/0/lables: unknown field "lables" (remedy: did you mean "labels"?)`,
			`/pools/0/policy: value "fastest" is not known`,
			`/engines/0/address: value "example.org:80" has the wrong form`,
			`/engines/0/capacity: value 0 is too small (remedy: use at least 1)`,
			`/workspaces/0/keys/0: value "secret" has the wrong form`,
			`/modles: unknown field "modles" (remedy: did you mean "models"?)`,
		},
		"references.json": {
			`/hosts/0/labels/domain: label domain is set by rockdoor`,
			`references.json:2:81: /hosts/1/name: host "h1" is defined twice`,
			`/pools/0/selector: selector matches no engine of pool p`,
			`/engines/0/pool: pool "q" does not exist`,
			`/engines/1/host: host "h9" does not exist`,
			`/engines/1/address: address "10.0.0.300:80" is not an IP address and port`,
			`/models/0/pool: pool "nowhere" does not exist`,
			`/models/1/selector: selector cannot be read`,
			`/services/0/servers/0/name: engine or backend server "e1" is defined twice`,
			`/routes/0/path: paths below /v1/ belong to the completion API`,
			`/routes/1/service: service "t" does not exist`,
			`/workspaces/0/selector: selector matches no engine or backend server`,
			`/workspaces/1/name: workspace "w" is defined twice`,
			`/workspaces/2/entrySelector: selector matches no host`,
		},
	} {
		t.Run(file, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("testdata/broken", file))
			require.NoError(t, err)
			_, _, err = Parse(file, text)
			ps := jsonc.ProblemsOf(err)
			require.Len(t, ps, len(want), "%v", err)
			for i, p := range ps {
				require.Contains(t, p.String(), want[i])
			}
		})
	}
}

func TestCompileReportsProblemsWithoutAFile(t *testing.T) {
	_, err := Compile(&Config{Engines: []Engine{{Name: "e", Pool: "p", Host: "h", Address: "10.0.0.1:1"}}})
	require.Len(t, jsonc.ProblemsOf(err), 2)
}

func TestRouteWithTheLongestPathWins(t *testing.T) {
	c := &Compiled{Routes: []*CompiledRoute{{Route: Route{Path: "/a/b/"}}, {Route: Route{Path: "/a/"}}}}
	require.Equal(t, "/a/b/", c.RouteFor("/a/b/c").Path)
	require.Equal(t, "/a/", c.RouteFor("/a/c").Path)
	require.Nil(t, c.RouteFor("/b"))
}
