package entry

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// keyPrefix begins every key: "sh_ID_SECRET".
const keyPrefix = "sh_"

// credentials reads the key from the Authorization header. A header that holds
// no key of the right form gives an ID that no key has.
func credentials(r *http.Request) (vocab.KeyID, [sha256.Size]byte) {
	value := r.Header.Get("Authorization")
	if value == "" {
		return "", [sha256.Size]byte{}
	}
	_, key, _ := strings.Cut(value, " ")
	id, secret, ok := strings.Cut(strings.TrimPrefix(strings.TrimSpace(key), keyPrefix), "_")
	if !ok || id == "" {
		return "malformed", [sha256.Size]byte{}
	}
	return vocab.KeyID(id), sha256.Sum256([]byte(secret))
}

// pathAfterQueue returns the escaped path that follows "/v1/QUEUE".
func pathAfterQueue(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/")
	at := strings.IndexByte(rest, '/')
	if at < 0 {
		return "/"
	}
	return rest[at:]
}
