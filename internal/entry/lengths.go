package entry

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxLengths is the maximum number of pairs of workspace and model for which a
	// mean is kept.
	maxLengths = 8192
	// lengthWeight is the weight of the latest response in the moving average.
	lengthWeight = 0.1
)

// lengths tracks the mean response length of each workspace and model. It
// supplies an estimate for requests that don't set max_tokens. It is safe for
// concurrent use.
type lengths struct {
	mu   sync.Mutex
	mean *lru.Cache[lengthKey, float64]
}

type lengthKey struct{ workspace, model string }

func newLengths() *lengths {
	mean, err := lru.New[lengthKey, float64](maxLengths)
	if err != nil {
		panic(err) // lru.New fails only if the size is not positive
	}
	return &lengths{mean: mean}
}

// estimate returns the expected number of tokens of a response.
func (l *lengths) estimate(workspace, model string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mean, ok := l.mean.Get(lengthKey{workspace, model}); ok {
		return max(1, int(mean))
	}
	return defaultOutputTokens
}

// record updates the mean with the length of a complete response.
func (l *lengths) record(workspace, model string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := lengthKey{workspace, model}
	mean, ok := l.mean.Get(key)
	if !ok {
		mean = float64(tokens)
	}
	l.mean.Add(key, mean+lengthWeight*(float64(tokens)-mean))
}
