package entry

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxLengths bounds the workspaces and models whose answers are remembered.
	maxLengths = 8192
	// lengthWeight is the weight of the latest answer in the average.
	lengthWeight = 0.1
)

// lengths learns how long the answers of each workspace and model are, for
// requests that set no bound. It is safe for concurrent use.
type lengths struct {
	mu   sync.Mutex
	mean *lru.Cache[lengthKey, float64]
}

type lengthKey struct{ workspace, model string }

func newLengths() *lengths {
	mean, err := lru.New[lengthKey, float64](maxLengths)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &lengths{mean: mean}
}

// expect returns the expected number of tokens of an answer.
func (l *lengths) expect(workspace, model string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mean, ok := l.mean.Get(lengthKey{workspace, model}); ok {
		return max(1, int(mean))
	}
	return defaultOutput
}

// learn takes in the length of a whole answer.
func (l *lengths) learn(workspace, model string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := lengthKey{workspace, model}
	mean, ok := l.mean.Get(key)
	if !ok {
		mean = float64(tokens)
	}
	l.mean.Add(key, mean+lengthWeight*(float64(tokens)-mean))
}
