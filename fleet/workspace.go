package fleet

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rockdoor/rockdoor/fault"
)

// Workspace is a set of clients that authenticate with the same API keys.
type Workspace struct {
	Name string
	// Rank replaces the rank of the route if Ranked is true.
	Rank   int
	Ranked bool
}

// KeyHash identifies an API key where the key itself is not needed. It is the first half of the
// key's SHA-256, which is long enough to rule out finding another key with the same hash.
type KeyHash [sha256.Size / 2]byte

// HashKey returns the hash that identifies an API key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(sum[:len(KeyHash{})])
}

// String returns the hash in hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// ParseKeyHash parses the result of KeyHash.String. Errors have the kind Invalid.
func ParseKeyHash(text string) (KeyHash, error) {
	sum, err := hex.DecodeString(text)
	if err != nil || len(sum) != len(KeyHash{}) {
		return KeyHash{}, fault.Newf(fault.Invalid, "run the same version everywhere", "key hash is malformed")
	}
	return KeyHash(sum), nil
}

// AddWorkspace adds a workspace with the hashes of its keys. It must be called before the
// configuration is published.
func (c *Config) AddWorkspace(w Workspace, keys []KeyHash) {
	if c.workspaceByKey == nil {
		c.workspaceByKey = map[KeyHash]*Workspace{}
	}
	c.workspaces++
	for _, k := range keys {
		c.workspaceByKey[k] = &w
	}
}

// Workspaces returns the number of workspaces. If there are none, requests need no key.
func (c *Config) Workspaces() int { return c.workspaces }

// WorkspaceByKey returns the workspace that a key belongs to, or nil if there is none.
func (c *Config) WorkspaceByKey(key string) *Workspace {
	if key == "" {
		return nil
	}
	return c.workspaceByKey[HashKey(key)]
}
