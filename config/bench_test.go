package config

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

func largeConfig(engines, workspaces int) *Config {
	c := &Config{}
	for i := range 11 {
		c.Pools = append(c.Pools, Pool{Name: fmt.Sprint("p", i)})
	}
	for i := range engines {
		c.Hosts = append(c.Hosts, Host{Name: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i%11), Labels: map[string]string{"region": fmt.Sprint("r", i%3)}})
		c.Engines = append(c.Engines, Engine{Name: fmt.Sprint("e", i), Pool: fmt.Sprint("p", i%11), Host: fmt.Sprint("h", i), Address: "10.0.0.1:80", State: Active, Capacity: 48})
	}
	for i := range 9 {
		c.Models = append(c.Models, Model{Name: fmt.Sprint("m", i), Pool: fmt.Sprint("p", i)})
	}
	for i := range workspaces {
		c.Workspaces = append(c.Workspaces, Workspace{Name: fmt.Sprint("workspace-", i), Keys: []string{fmt.Sprintf("%064x", i)}, Selector: fmt.Sprintf("region=r%d", i%3)})
	}
	return c
}

// BenchmarkCompile measures the time to decode and compile a configuration and
// the memory that the result occupies.
func BenchmarkCompile(b *testing.B) {
	for _, size := range [][2]int{{12, 3}, {300, 4000}, {900, 12000}, {2700, 38000}} {
		b.Run(fmt.Sprintf("engines=%d,workspaces=%d", size[0], size[1]), func(b *testing.B) {
			text := encode(b, size[0], size[1])
			before := heap()
			held := compileText(b, text)
			after := heap()
			runtime.KeepAlive(held)
			for b.Loop() {
				compileText(b, text)
			}
			b.ReportMetric(float64(after-before)/(1<<20), "held-MB")
			b.ReportMetric(float64(len(text))/(1<<20), "text-MB")
		})
	}
}

func encode(b *testing.B, engines, workspaces int) []byte {
	text, err := json.Marshal(largeConfig(engines, workspaces))
	require.NoError(b, err)
	return text
}

func compileText(b *testing.B, text []byte) *Compiled {
	var c Config
	require.NoError(b, json.Unmarshal(text, &c))
	held, err := Compile(&c)
	require.NoError(b, err)
	return held
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
