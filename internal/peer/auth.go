package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"

	"github.com/twitchtv/twirp"
)

// headerMAC carries the hexadecimal HMAC-SHA256 of path and body under the
// secret that all entry processes share.
const headerMAC = "Sardinehead-Mac"

// maxBodyBytes bounds the body of one call; snapshots are the largest.
const maxBodyBytes = 64 << 20

func mac(secret []byte, path string, body []byte) string {
	h := hmac.New(sha256.New, secret)
	_, _ = io.WriteString(h, path)
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// requireMAC lets through only calls of processes that know the secret.
func requireMAC(secret []byte, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil {
			_ = twirp.WriteError(w, twirp.Malformed.Error("the body broke off"))
			return
		}
		if !hmac.Equal([]byte(mac(secret, r.URL.Path, body)), []byte(r.Header.Get(headerMAC))) {
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("the caller does not know the peer secret"))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// signer adds the MAC to each call.
type signer struct {
	secret []byte
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (s signer) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	signed := r.Clone(r.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	// Without GetBody net/http cannot send the call a second time on its own.
	signed.GetBody = nil
	signed.Header.Set(headerMAC, mac(s.secret, r.URL.Path, body))
	// Fewer bytes on the wire, which all count against the control budget.
	signed.Header.Del("Accept")
	signed.Header.Del("Twirp-Version")
	signed.Header["User-Agent"] = nil
	return s.next.RoundTrip(signed)
}
