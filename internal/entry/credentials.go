package entry

import (
	"net/http"
	"strings"

	"github.com/sardinehead/sardinehead/internal/credential"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// malformedKey is an ID that no key has.
const malformedKey vocab.KeyID = "malformed_"

// credentials reads the key from the Authorization header. A header that holds
// no key of the right form gives an ID that no key has.
func credentials(r *http.Request) (vocab.KeyID, []byte) {
	value := r.Header.Get("Authorization")
	if value == "" {
		return "", nil
	}
	_, text, _ := strings.Cut(value, " ")
	key, ok := credential.Parse(strings.TrimSpace(text))
	if !ok {
		return malformedKey, nil
	}
	return key.ID, key.Hash()
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
