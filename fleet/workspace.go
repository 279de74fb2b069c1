package fleet

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rockdoor/rockdoor/fault"
)

// Workspace is a customer of the deployment. Its callers prove themselves with a key.
type Workspace struct {
	Name string
	// Rank goes before that of a route if Ranked is true.
	Rank   int
	Ranked bool
}

// KeyHash stands for a key of a workspace wherever the key itself is not needed: half of
// its SHA-256, enough that no other key is found for it.
type KeyHash [sha256.Size / 2]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(sum[:len(KeyHash{})])
}

// String returns the hash in hexadecimal digits.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// ParseKeyHash reads what KeyHash.String returns. The error is of kind Invalid.
func ParseKeyHash(text string) (KeyHash, error) {
	sum, err := hex.DecodeString(text)
	if err != nil || len(sum) != len(KeyHash{}) {
		return KeyHash{}, fault.Newf(fault.Invalid, "run the same version everywhere", "hash of a key cannot be read")
	}
	return KeyHash(sum), nil
}

// AddWorkspace adds a workspace with the hashes of its keys. It is called before the
// configuration is published.
func (c *Config) AddWorkspace(w Workspace, keys []KeyHash) {
	if c.byKey == nil {
		c.byKey = map[KeyHash]*Workspace{}
	}
	c.workspaces++
	for _, k := range keys {
		c.byKey[k] = &w
	}
}

// Workspaces returns how many workspaces there are. Without any, callers need no key.
func (c *Config) Workspaces() int { return c.workspaces }

// WorkspaceByKey returns the workspace that a key belongs to, nil if no workspace has it.
func (c *Config) WorkspaceByKey(key string) *Workspace {
	if key == "" {
		return nil
	}
	return c.byKey[HashKey(key)]
}
