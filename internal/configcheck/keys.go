package configcheck

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/sardinehead/sardinehead/internal/core/job"
)

// WithoutSecrets returns a copy of a configuration with the keys replaced by their hashes. Two
// such copies can be compared, and a node can show its own.
func WithoutSecrets(c *job.Config) *job.Config {
	hashed := &job.Config{Version: c.Version, Queues: c.Queues, Pools: c.Pools, MaxBody: c.MaxBody}
	for _, t := range c.Teams {
		keys := make([]string, len(t.Keys))
		for i, key := range t.Keys {
			sum := sha256.Sum256([]byte(key))
			keys[i] = hex.EncodeToString(sum[:])
		}
		t.Keys = keys
		hashed.Teams = append(hashed.Teams, t)
	}
	return hashed
}
