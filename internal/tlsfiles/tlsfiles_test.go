package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// authority is a certificate authority.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// newAuthority creates an authority with a self-signed certificate.
func newAuthority(g *gomega.WithT) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	template := x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return authority{key: key, cert: cert}
}

// write creates a certificate with the serial number and writes the files.
func (a authority) write(g *gomega.WithT, dir string, serial int64) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	template := x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, &template, a.cert, &key.PublicKey, a.key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	files := Files{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Authority: filepath.Join(dir, "ca")}
	for path, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "PRIVATE KEY", Bytes: keyDER},
		files.Authority:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		g.Expect(os.WriteFile(path, pem.EncodeToMemory(block), 0o600)).To(gomega.Succeed())
	}
	return files
}

// handshakeTimeout is the timeout of each handshake.
const handshakeTimeout = 5 * time.Second

// handshake connects a client to a server and returns the serial number of the
// server's certificate. It fails if either end rejects the other.
func handshake(client, server *tls.Config) (int64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	served := make(chan error, 1)
	go func() { served <- serveOnce(listener, server) }()
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: handshakeTimeout}, "tcp", listener.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := <-served; err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// serveOnce performs the handshake of one connection.
func serveOnce(listener net.Listener, config *tls.Config) error {
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	return tls.Server(conn, config).Handshake()
}

// TestPeersNeedSameAuthority checks that a client and a server reject a certificate
// of another authority.
func TestPeersNeedSameAuthority(t *testing.T) {
	g := gomega.NewWithT(t)
	trustedCA, otherCA := newAuthority(g), newAuthority(g)
	server, err := Open(trustedCA.write(g, t.TempDir(), 7))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	trusted, err := Open(trustedCA.write(g, t.TempDir(), 8))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	untrusted, err := Open(otherCA.write(g, t.TempDir(), 9))
	g.Expect(err).NotTo(gomega.HaveOccurred())

	g.Expect(handshake(trusted.Client(), server.Server())).To(gomega.Equal(int64(7)))
	_, err = handshake(untrusted.Client(), server.Server())
	g.Expect(err).To(gomega.HaveOccurred(), "a server of another authority")
	unverifying := untrusted.Client()
	unverifying.VerifyConnection = nil
	_, err = handshake(unverifying, server.Server())
	g.Expect(err).To(gomega.HaveOccurred(), "a client of another authority")
}

// TestReload checks that changed files are used without a restart, and that the last
// usable certificate stays in use while the files are not usable.
func TestReload(t *testing.T) {
	g := gomega.NewWithT(t)
	a, dir := newAuthority(g), t.TempDir()
	source, err := Open(a.write(g, dir, 7))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	later := time.Now().Add(time.Minute)
	renew := func(serial int64) {
		files := a.write(g, dir, serial)
		g.Expect(os.Chtimes(files.Certificate, later, later)).To(gomega.Succeed())
		source.lastCheck = time.Time{} // as if checkInterval had passed
	}
	renew(8)
	g.Expect(handshake(source.Client(), source.Server())).To(gomega.Equal(int64(8)))

	later = later.Add(time.Minute)
	g.Expect(os.WriteFile(filepath.Join(dir, "key"), []byte("incomplete file"), 0o600)).To(gomega.Succeed())
	source.lastCheck = time.Time{}
	g.Expect(handshake(source.Client(), source.Server())).To(gomega.Equal(int64(8)), "the last usable certificate")
}
