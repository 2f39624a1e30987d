// Package credential generates and parses API keys. A key has the form
// "sh_ID_SECRET". The ID is public. The secret is shown to the operator once and
// is never stored: the log and the nodes keep only its SHA-256.
package credential

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

const (
	prefix    = "sh_"
	separator = "_"
	// idBytes and secretBytes are the numbers of random bytes in each part, which
	// is written in hexadecimal.
	idBytes     = 6
	secretBytes = 32
)

// Key is an API key with its secret. Its String and GoString methods keep the
// secret out of logs.
type Key struct {
	ID     vocab.KeyID
	secret string
}

// New generates a key with the system's cryptographic random number generator.
func New() Key {
	return Key{ID: vocab.KeyID(randomHex(idBytes)), secret: randomHex(secretBytes)}
}

// Parse parses the text of a key. It returns false if the text does not have the
// form of a key.
func Parse(text string) (Key, bool) {
	rest, ok := strings.CutPrefix(text, prefix)
	if !ok {
		return Key{}, false
	}
	id, secret, ok := strings.Cut(rest, separator)
	if !ok || id == "" || secret == "" {
		return Key{}, false
	}
	return Key{ID: vocab.KeyID(id), secret: secret}, true
}

// Text returns the complete key, including the secret.
func (k Key) Text() string {
	return prefix + string(k.ID) + separator + k.secret
}

// String returns the key with "..." in place of the secret.
func (k Key) String() string {
	return prefix + string(k.ID) + separator + "..."
}

// GoString returns the same as String, so that %#v does not print the secret.
func (k Key) GoString() string {
	return k.String()
}

// Hash returns the SHA-256 of the secret.
func (k Key) Hash() []byte {
	sum := sha256.Sum256([]byte(k.secret))
	return sum[:]
}

// Matches reports whether hash is the hash of the key's secret. It compares in
// constant time.
func (k Key) Matches(hash []byte) bool {
	return subtle.ConstantTimeCompare(k.Hash(), hash) == 1
}

// randomHex returns n random bytes in hexadecimal. It ignores the error because
// rand.Read never returns one: the runtime aborts the program if the system's
// random number generator fails.
func randomHex(n int) string {
	raw := make([]byte, n)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
