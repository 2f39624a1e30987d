// Package credential makes and reads the text of keys. A key reads
// "sh_ID_SECRET". The ID is public; the secret is shown to the operator once
// and is kept nowhere: the log and the nodes hold its SHA-256 only.
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
	// idBytes and secretBytes are the random bytes of each part.
	idBytes     = 6
	secretBytes = 32
)

// Key is a key with its secret. Printing it with the fmt package shows only the ID.
type Key struct {
	ID     vocab.KeyID
	secret string
}

// New draws a key from the system's source of randomness.
func New() Key {
	return Key{ID: vocab.KeyID(randomHex(idBytes)), secret: randomHex(secretBytes)}
}

// Parse reads the text of a key and reports whether it has the right form.
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

// Text returns the whole key, secret included.
func (k Key) Text() string {
	return prefix + string(k.ID) + separator + k.secret
}

// String returns the key with its secret left out.
func (k Key) String() string {
	return prefix + string(k.ID) + separator + "..."
}

// GoString does as String, so that no format verb prints the secret.
func (k Key) GoString() string {
	return k.String()
}

// Hash returns the SHA-256 of the secret.
func (k Key) Hash() []byte {
	sum := sha256.Sum256([]byte(k.secret))
	return sum[:]
}

// Matches compares the key's hash with a recorded one in constant time.
func (k Key) Matches(hash []byte) bool {
	return subtle.ConstantTimeCompare(k.Hash(), hash) == 1
}

// randomHex returns n random bytes in hexadecimal. The source never fails: the
// runtime ends the program when it has no randomness.
func randomHex(n int) string {
	raw := make([]byte, n)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
