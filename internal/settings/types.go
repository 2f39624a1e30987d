// Package settings holds the types, defaults and validation of the settings of
// a process: its name, location, addresses, platform and files. The
// configuration of the fleet is in the operators' files, see package spec.
package settings

import (
	"encoding/json"
	"net/netip"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Settings is the settings of an entry process.
type Settings struct {
	Node   vocab.NodeID   `json:"node"`
	Region vocab.RegionID `json:"region"`
	Zone   vocab.ZoneID   `json:"zone"`
	// Callers is the listener for the callers' requests.
	Callers Listener `json:"callers"`
	// Peers is the listener for calls of other entry processes.
	Peers Listener `json:"peers"`
	// Operators is the listener for health checks, metrics and dumps.
	Operators Listener `json:"operators"`
	Platform  Platform `json:"platform"`
	// FirstPeers are the peer addresses of other entry processes, from which
	// this process fetches a snapshot if the log is down at the start.
	FirstPeers []Address `json:"first_peers"`
	// PeerSecretFile is the path of the file with the secret that the entry
	// processes share. The secret is never printed.
	PeerSecretFile string `json:"peer_secret_file"`
	Times          Times  `json:"times"`
}

// Listener is an address to listen on, with or without TLS.
type Listener struct {
	Address Address `json:"address"`
	TLS     TLS     `json:"tls"`
	// Plain serves without TLS. Either Plain or TLS must be given.
	Plain bool `json:"plain"`
}

// TLS holds the paths of the PEM files of a listener. The files are read again
// when they change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority is the bundle of CA certificates that the certificate of the
	// other end is verified with. It is required for Settings.Peers, otherwise
	// optional.
	Authority string `json:"authority"`
}

// Platform holds the addresses of the platform's services: the log and the list
// of VMs.
type Platform struct {
	Log    URL `json:"log"`
	VMList URL `json:"vm_list"`
}

// Times are the waits during the stop of a process.
type Times struct {
	// BalancerWait is the wait between reporting the process as not ready and
	// refusing new connections, so that the load balancer has stopped sending
	// requests by then.
	BalancerWait spec.Duration `json:"balancer"`
	// StopTimeout is the maximum wait for running requests.
	StopTimeout spec.Duration `json:"stop"`
}

// ErrBadAddress is returned for a JSON value that is not a valid Address or URL.
var ErrBadAddress = errors.New("not an address")

// Address is an IP address and a port, encoded in JSON as "10.0.0.5:8443".
type Address struct {
	netip.AddrPort
}

// UnmarshalJSON decodes a string such as "10.0.0.5:8443". It fails with
// ErrBadAddress.
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
	return `an IP address and a port such as "10.0.0.5:8443"`
}

// URL is the address of an HTTP service, such as "http://10.0.0.9:9100".
type URL string

// UnmarshalJSON decodes an http or https URL whose host is an IP address with a
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
	return `a URL with an IP address and a port such as "http://10.0.0.9:9100"`
}
