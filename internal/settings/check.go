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
	// minSecretBytes is the least length of the peer secret.
	minSecretBytes = 32
	maxBalancer    = 5 * time.Minute
	maxStop        = time.Hour
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

// checker checks settings against each other and the files they name.
type checker struct {
	settings *Settings
	root     strictjson.Cursor
	read     ReadFile
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
	c.checkPeersSide()
	c.checkAddressesDiffer()
	strictjson.RequireAll(c.root.Field("platform"), platformRequired)
	c.checkFirstPeers()
	c.checkSecret()
	times := c.root.Field("times")
	strictjson.CheckDuration(times.Field("balancer"), "balancer", s.Times.Balancer.D(), 0, maxBalancer)
	strictjson.CheckDuration(times.Field("stop"), "stop", s.Times.Stop.D(), time.Second, maxStop)
}

func (c *checker) checkListener(side string, l *Listener) {
	at := c.root.Field(side)
	strictjson.RequireAll(at, listenerRequired)
	if at.Field("tls").Present() == l.Plain {
		at.Report(fmt.Sprintf("%q needs either TLS files or plain", side),
			`"tls": {"certificate": ..., "key": ...}, or "plain": true to go without`)
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
	certificate, ok1 := c.content(at.Field("certificate"), files.Certificate)
	key, ok2 := c.content(at.Field("key"), files.Key)
	if !ok1 || !ok2 {
		return
	}
	if _, err := tls.X509KeyPair(certificate, key); err != nil {
		at.Field("certificate").Report(fmt.Sprintf("certificate and key cannot be used: %v", err),
			"the PEM files of one certificate and its key")
	}
}

func (c *checker) checkAuthority(at strictjson.Cursor, path string) {
	bundle, ok := c.content(at, path)
	if ok && !x509.NewCertPool().AppendCertsFromPEM(bundle) {
		at.Report(fmt.Sprintf("there is no certificate in %s", path), "a PEM file with certificates")
	}
}

// content reads a file that the settings name and reports if it cannot.
func (c *checker) content(at strictjson.Cursor, path string) ([]byte, bool) {
	if !at.Present() {
		return nil, false
	}
	data, err := c.read(path)
	if err != nil {
		at.Report(fmt.Sprintf("the file cannot be read: %v", err), "the path of a file that this process may read")
		return nil, false
	}
	return data, true
}

// checkPeersSide holds that peers can reach the address and are authenticated.
func (c *checker) checkPeersSide() {
	at, l := c.root.Field("peers"), &c.settings.Peers
	if l.Address.IsValid() && l.Address.Addr().IsUnspecified() {
		at.Field("address").Report(fmt.Sprintf("peers cannot reach %s", l.Address),
			"the IP number by which the other entry VMs reach this one")
	}
	if at.Field("tls").Present() {
		at.Field("tls").Require("authority", `"authority": "peers-ca.pem"`)
	}
}

func (c *checker) checkAddressesDiffer() {
	s := c.settings
	seen := map[Address]string{}
	for _, side := range []struct {
		name string
		l    *Listener
	}{{"callers", &s.Callers}, {"peers", &s.Peers}, {"operators", &s.Operators}} {
		address := side.l.Address
		if other, taken := seen[address]; taken && address.IsValid() {
			c.root.Field(side.name).Field("address").Report(
				fmt.Sprintf("%s is already the address of %q", address, other), "an address for each side")
		}
		seen[address] = side.name
	}
}

func (c *checker) checkFirstPeers() {
	at := c.root.Field("first_peers")
	if len(c.settings.FirstPeers) == 0 {
		place := at
		if !at.Present() {
			place = c.root
		}
		place.Warn("without first peers this process cannot start while the log is down", "the peer addresses of other entry VMs")
	}
	for i, peer := range c.settings.FirstPeers {
		if peer.IsValid() && peer == c.settings.Peers.Address {
			at.Index(i).Warn(fmt.Sprintf("%s is this process itself", peer), "the other entry VMs only")
		}
	}
}

func (c *checker) checkSecret() {
	at := c.root.Field("peer_secret_file")
	secret, ok := c.content(at, c.settings.PeerSecretFile)
	if ok && len(bytes.TrimSpace(secret)) < minSecretBytes {
		at.Report("the peer secret is too short", fmt.Sprintf("a file with at least %d random bytes", minSecretBytes))
	}
}
