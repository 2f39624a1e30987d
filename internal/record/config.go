package record

import (
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

func init() {
	register[ConfigPublished]()
	register[KeyGiven]()
	register[KeyWithdrawn]()
}

// ConfigPublished proposes a configuration. The fold accepts it only if Base is
// the revision in force at that point of the stream.
type ConfigPublished struct {
	Base     vocab.Revision `json:"base"`
	Operator string         `json:"operator"`
	Fleet    spec.Fleet     `json:"fleet"`
}

// RecordKind implements Body.
func (ConfigPublished) RecordKind() Kind { return "config.published" }

// KeyGiven makes a key known. Only the hash of its secret is recorded.
type KeyGiven struct {
	Key  vocab.KeyID  `json:"key"`
	Team vocab.TeamID `json:"team"`
	// SecretHash is the SHA-256 of the secret.
	SecretHash []byte `json:"secret_hash"`
	Operator   string `json:"operator"`
}

// RecordKind implements Body.
func (KeyGiven) RecordKind() Kind { return "key.given" }

// KeyWithdrawn ends a key for good. No later record brings the key ID back,
// whether or not a KeyGiven came before.
type KeyWithdrawn struct {
	Key      vocab.KeyID `json:"key"`
	Operator string      `json:"operator"`
}

// RecordKind implements Body.
func (KeyWithdrawn) RecordKind() Kind { return "key.withdrawn" }
