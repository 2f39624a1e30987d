package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"time"

	"github.com/sardinehead/sardinehead/internal/strictjson"
)

const (
	// minSecretBytes is the minimum length of the peer secret.
	minSecretBytes  = 32
	maxBalancerWait = 5 * time.Minute
	maxStopTimeout  = time.Hour
)

var (
	settingsRequired = []strictjson.Required{
		{Name: "node", Example: `"node": "entry-1"`},
		{Name: "region", Example: `"region": "nakuru"`},
		{Name: "zone", Example: `"zone": "nakuru-a"`},
		{Name: "callers", Example: `"callers": {"address": "10.0.0.5:443", "tls": {...}}`},
		{Name: "peers", Example: `"peers": {"address": "10.0.0.5:8443", "tls": {...}}`},
		{Name: "operators", Example: `"operators": {"address": "10.0.0.5:9443", "tls": {...}}`},
		{Name: "platform", Example: `"platform": {"log": "http://10.0.0.9:9100", "vm_list": "http://10.0.0.9:9100"}`},
		{Name: "peer_secret_file", Example: `"peer_secret_file": "peer-secret"`},
	}
	listenerRequired = []strictjson.Required{
		{Name: "address", Example: `"address": "10.0.0.5:8443"`},
	}
	tlsRequired = []strictjson.Required{
		{Name: "certificate", Example: `"certificate": "server.pem"`},
		{Name: "key", Example: `"key": "server-key.pem"`},
	}
	platformRequired = []strictjson.Required{
		{Name: "log", Example: `"log": "http://10.0.0.9:9100"`},
		{Name: "vm_list", Example: `"vm_list": "http://10.0.0.9:9100"`},
	}
)

// checker checks the values of settings and the files that they name.
type checker struct {
	settings *Settings
	// root is the outermost object of the settings file.
	root         strictjson.Cursor
	readFileFunc ReadFile
}

func (c *checker) check() {
	s := c.settings
	strictjson.RequireAll(c.root, settingsRequired)
	strictjson.CheckName(c.root.Field("node"), string(s.Node))
	strictjson.CheckName(c.root.Field("region"), string(s.Region))
	strictjson.CheckName(c.root.Field("zone"), string(s.Zone))
	c.checkListener("callers", &s.Callers)
	c.checkListener("peers", &s.Peers)
	c.checkListener("operators", &s.Operators)
	c.checkPeersListener()
	c.checkAddressesDiffer()
	strictjson.RequireAll(c.root.Field("platform"), platformRequired)
	c.checkFirstPeers()
	c.checkPeerSecret()
	times := c.root.Field("times")
	strictjson.CheckDuration(times.Field("balancer"), "balancer", s.Times.BalancerWait.D(), 0, maxBalancerWait)
	strictjson.CheckDuration(times.Field("stop"), "stop", s.Times.StopTimeout.D(), time.Second, maxStopTimeout)
}

func (c *checker) checkListener(name string, l *Listener) {
	at := c.root.Field(name)
	strictjson.RequireAll(at, listenerRequired)
	if at.Field("tls").Present() == l.Plain {
		at.Report(fmt.Sprintf(`%q needs either "tls" or "plain": true`, name),
			`"tls": {"certificate": ..., "key": ...}, or "plain": true to serve without TLS`)
		return
	}
	if l.Plain {
		return
	}
	strictjson.RequireAll(at.Field("tls"), tlsRequired)
	c.checkKeyPair(at.Field("tls"), l.TLS)
	c.checkAuthority(at.Field("tls").Field("authority"), l.TLS.Authority)
}

func (c *checker) checkKeyPair(at strictjson.Cursor, files TLS) {
	certificate, certificateRead := c.readFile(at.Field("certificate"), files.Certificate)
	key, keyRead := c.readFile(at.Field("key"), files.Key)
	if !certificateRead || !keyRead {
		return
	}
	if _, err := tls.X509KeyPair(certificate, key); err != nil {
		at.Field("certificate").Report(fmt.Sprintf("certificate and key cannot be used: %v", err),
			"the PEM files of one certificate and its key")
	}
}

func (c *checker) checkAuthority(at strictjson.Cursor, path string) {
	bundle, ok := c.readFile(at, path)
	if ok && !x509.NewCertPool().AppendCertsFromPEM(bundle) {
		at.Report(fmt.Sprintf("there is no certificate in %s", path), "a PEM file with certificates")
	}
}

// readFile reads a file that the settings name. It reports a problem if the file
// cannot be read, and returns whether it was read.
func (c *checker) readFile(at strictjson.Cursor, path string) ([]byte, bool) {
	if !at.Present() {
		return nil, false
	}
	data, err := c.readFileFunc(path)
	if err != nil {
		at.Report(fmt.Sprintf("the file cannot be read: %v", err), "the path of a file that this process may read")
		return nil, false
	}
	return data, true
}

// checkPeersListener checks that the peers can connect to the address, and that
// with TLS their certificates are verified.
func (c *checker) checkPeersListener() {
	at, l := c.root.Field("peers"), &c.settings.Peers
	if l.Address.IsValid() && l.Address.Addr().IsUnspecified() {
		at.Field("address").Report(fmt.Sprintf("peers cannot reach %s", l.Address),
			"the IP address at which the other entry VMs reach this one")
	}
	if at.Field("tls").Present() {
		at.Field("tls").Require("authority", `"authority": "peers-ca.pem"`)
	}
}

// checkAddressesDiffer reports listeners with the same address.
func (c *checker) checkAddressesDiffer() {
	s := c.settings
	seen := map[Address]string{}
	for _, listener := range []struct {
		name     string
		settings *Listener
	}{{"callers", &s.Callers}, {"peers", &s.Peers}, {"operators", &s.Operators}} {
		address := listener.settings.Address
		if other, inUse := seen[address]; inUse && address.IsValid() {
			c.root.Field(listener.name).Field("address").Report(
				fmt.Sprintf("%s is already the address of %q", address, other), "a different address for each listener")
		}
		seen[address] = listener.name
	}
}

func (c *checker) checkFirstPeers() {
	at := c.root.Field("first_peers")
	if len(c.settings.FirstPeers) == 0 {
		warnAt := at
		if !at.Present() {
			warnAt = c.root
		}
		warnAt.Warn("without first peers this process cannot start while the log is down", "the peer addresses of other entry VMs")
	}
	for i, peer := range c.settings.FirstPeers {
		if peer.IsValid() && peer == c.settings.Peers.Address {
			at.Index(i).Warn(fmt.Sprintf("%s is this process itself", peer), "the other entry VMs only")
		}
	}
}

func (c *checker) checkPeerSecret() {
	at := c.root.Field("peer_secret_file")
	secret, ok := c.readFile(at, c.settings.PeerSecretFile)
	if ok && len(bytes.TrimSpace(secret)) < minSecretBytes {
		at.Report("the peer secret is too short", fmt.Sprintf("a file with at least %d random bytes", minSecretBytes))
	}
}
