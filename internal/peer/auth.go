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

// headerMAC is the header for the HMAC-SHA256 of path and body in hexadecimal.
// The key is the secret that all entry processes share.
const headerMAC = "Sardinehead-Mac"

// maxBodyBytes bounds the request body of a call. Snapshots are the largest
// messages.
const maxBodyBytes = 64 << 20

func computeMAC(secret []byte, path string, body []byte) string {
	h := hmac.New(sha256.New, secret)
	_, _ = io.WriteString(h, path)
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// requireMAC returns a handler that passes requests with a valid MAC to next and
// refuses all others.
func requireMAC(secret []byte, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil {
			_ = twirp.WriteError(w, twirp.Malformed.Error("the body broke off"))
			return
		}
		if !hmac.Equal([]byte(computeMAC(secret, r.URL.Path, body)), []byte(r.Header.Get(headerMAC))) {
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("the caller does not know the peer secret"))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// signingTransport adds the MAC to each request.
type signingTransport struct {
	secret []byte
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (s signingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	signed := r.Clone(r.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	// Without GetBody, net/http cannot resend the request by itself.
	signed.GetBody = nil
	signed.Header.Set(headerMAC, computeMAC(s.secret, r.URL.Path, body))
	// The receiver needs none of these headers, and every byte counts against the
	// budget for control traffic.
	signed.Header.Del("Accept")
	signed.Header.Del("Twirp-Version")
	signed.Header["User-Agent"] = nil
	return s.next.RoundTrip(signed)
}
