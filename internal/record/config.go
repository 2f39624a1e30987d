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

// ConfigPublished proposes a configuration. It is accepted only if Base is the
// revision in force at the record's offset.
type ConfigPublished struct {
	Base     vocab.Revision `json:"base"`
	Operator string         `json:"operator"`
	Fleet    spec.Fleet     `json:"fleet"`
}

// RecordKind implements Body.
func (ConfigPublished) RecordKind() Kind { return "config.published" }

// KeyGiven adds an API key. It holds only the hash of the key's secret.
type KeyGiven struct {
	Key  vocab.KeyID  `json:"key"`
	Team vocab.TeamID `json:"team"`
	// SecretHash is the SHA-256 of the secret.
	SecretHash []byte `json:"secret_hash"`
	Operator   string `json:"operator"`
}

// RecordKind implements Body.
func (KeyGiven) RecordKind() Kind { return "key.given" }

// KeyWithdrawn revokes an API key permanently. No later record makes the key ID
// valid again, whether or not a KeyGiven record precedes it.
type KeyWithdrawn struct {
	Key      vocab.KeyID `json:"key"`
	Operator string      `json:"operator"`
}

// RecordKind implements Body.
func (KeyWithdrawn) RecordKind() Kind { return "key.withdrawn" }
