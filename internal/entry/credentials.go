package entry

import (
	"net/http"
	"strings"

	"github.com/sardinehead/sardinehead/internal/credential"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// malformedKeyID stands for a key that cannot be parsed. No key has this ID: the
// IDs that sardinehead generates contain no underscore.
const malformedKeyID vocab.KeyID = "malformed_"

// credentials returns the key ID and the hash of the secret in the Authorization
// header. The ID is empty without the header, and malformedKeyID if the header
// has no valid key.
func credentials(r *http.Request) (vocab.KeyID, []byte) {
	value := r.Header.Get("Authorization")
	if value == "" {
		return "", nil
	}
	_, text, _ := strings.Cut(value, " ")
	key, ok := credential.Parse(strings.TrimSpace(text))
	if !ok {
		return malformedKeyID, nil
	}
	return key.ID, key.Hash()
}

// pathAfterQueue returns the escaped path that follows "/v1/QUEUE"; "/" if there
// is none.
func pathAfterQueue(r *http.Request) string {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/")
	slash := strings.IndexByte(rest, '/')
	if slash < 0 {
		return "/"
	}
	return rest[slash:]
}
