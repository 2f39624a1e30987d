package entry

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/sardinehead/sardinehead/internal/credential"
)

// FuzzCredentials checks that a hash is returned only for a valid key, and that
// a header without a valid key is not treated like a missing header.
func FuzzCredentials(f *testing.F) {
	f.Add("Bearer " + credential.New().Text())
	f.Add("")
	f.Add("Bearer")
	f.Add("Basic dXNlcjpwYXNz")
	f.Add("Bearer malformed_")
	f.Fuzz(func(t *testing.T, header string) {
		r := &http.Request{Header: http.Header{"Authorization": {header}}}
		id, hash := credentials(r)
		if (id == "") != (header == "") {
			t.Fatalf("header %q gives ID %q", header, id)
		}
		if (hash == nil) != (id == "" || id == malformedKeyID) {
			t.Fatalf("header %q gives ID %q with hash %x", header, id, hash)
		}
	})
}

// FuzzPathAfterQueue checks that the path for the upstream equals, byte for byte,
// what follows the queue's name, and that parsing and escaping it again gives the
// same path.
func FuzzPathAfterQueue(f *testing.F) {
	for _, path := range []string{"/v1/orders", "/v1/orders/", "/v1/orders/a%2Fb", "/v1/a%2Fb/c", "/v1//x", "/v1/orders//v1/x", "/v1/o/..%2f../x"} {
		f.Add(path)
	}
	f.Fuzz(func(t *testing.T, target string) {
		u, err := url.ParseRequestURI(target)
		if err != nil || !strings.HasPrefix(u.EscapedPath(), "/v1/") {
			return
		}
		path := pathAfterQueue(&http.Request{URL: u})
		if !strings.HasPrefix(path, "/") {
			t.Fatalf("%q gives the path %q", target, path)
		}
		if path != "/" && !strings.HasSuffix(u.EscapedPath(), path) {
			t.Fatalf("%q gives the path %q, which is not its suffix", target, path)
		}
		if parsed, err := url.ParseRequestURI(path); err != nil || parsed.EscapedPath() != path {
			t.Fatalf("the path %q of %q changes when it is parsed: %v", path, target, err)
		}
	})
}
