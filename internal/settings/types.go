// Package settings holds the settings of an entry process: its types, defaults
// and checks. Settings tell a process who and where it is; what the fleet does
// is in the operators' files.
package settings

import (
	"encoding/json"
	"net/netip"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Settings are the checked settings of one entry process.
type Settings struct {
	Node   vocab.NodeID   `json:"node"`
	Region vocab.RegionID `json:"region"`
	Zone   vocab.ZoneID   `json:"zone"`
	// Callers is the side on which callers send requests.
	Callers Listener `json:"callers"`
	// Peers is the side on which other entry processes call.
	Peers Listener `json:"peers"`
	// Operators is the side of health, metrics and dump.
	Operators Listener `json:"operators"`
	Platform  Platform `json:"platform"`
	// FirstPeers are peer addresses to ask when the log is down at the start.
	FirstPeers []Address `json:"first_peers"`
	// PeerSecretFile holds the secret that the entry processes share. Its
	// content is read by the peer service and never printed.
	PeerSecretFile string `json:"peer_secret_file"`
	Times          Times  `json:"times"`
}

// Listener is one side on which a process listens.
type Listener struct {
	Address Address `json:"address"`
	TLS     TLS     `json:"tls"`
	// Plain serves without TLS. It has to be said explicitly.
	Plain bool `json:"plain"`
}

// TLS names the PEM files of one side. They are read again when they change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority, if set, is the bundle that the other end's certificate must
	// be signed by. The peers' side needs it.
	Authority string `json:"authority"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log    URL `json:"log"`
	VMList URL `json:"vm_list"`
}

// Times are the waits of a process.
type Times struct {
	// Balancer is the wait between withdrawing readiness and refusing new
	// connections, so that the balancer notices first.
	Balancer spec.Duration `json:"balancer"`
	// Stop is the longest wait for running requests at a stop.
	Stop spec.Duration `json:"stop"`
}

// ErrBadAddress is returned for a JSON value that is not an IP:port or URL.
var ErrBadAddress = errors.New("not an address")

// Address is an IP number and port, written in JSON as "10.0.0.5:8443".
type Address struct {
	netip.AddrPort
}

// UnmarshalJSON reads "IP:port". It fails with ErrBadAddress.
func (a *Address) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Mark(err, ErrBadAddress)
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || parsed.Port() == 0 {
		return errors.Wrapf(ErrBadAddress, "%q", text)
	}
	a.AddrPort = parsed
	return nil
}

// JSONExample implements strictjson.Formatted.
func (*Address) JSONExample() string {
	return `an IP number and a port such as "10.0.0.5:8443"`
}

// URL is the address of an HTTP service by IP number, such as "http://10.0.0.9:9100".
type URL string

// UnmarshalJSON reads an http or https URL whose host is an IP number with a
// port. It fails with ErrBadAddress.
func (u *URL) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Mark(err, ErrBadAddress)
	}
	parsed, err := url.Parse(text)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.User != nil ||
		parsed.RawQuery != "" || parsed.Fragment != "" {
		return errors.Wrapf(ErrBadAddress, "%q", text)
	}
	host, err := netip.ParseAddrPort(parsed.Host)
	if err != nil || host.Port() == 0 {
		return errors.Wrapf(ErrBadAddress, "host of %q", text)
	}
	*u = URL(text)
	return nil
}

// JSONExample implements strictjson.Formatted.
func (*URL) JSONExample() string {
	return `a URL with an IP number and a port such as "http://10.0.0.9:9100"`
}
