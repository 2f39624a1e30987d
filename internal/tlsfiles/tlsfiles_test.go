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

// authority signs the certificates of one test.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

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

// write signs a certificate with a serial number and writes the three files.
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

// patience bounds each handshake.
const patience = 5 * time.Second

// handshake connects a client to a server and returns the server certificate's
// serial number. It fails if either end refuses the other.
func handshake(client, server *tls.Config) (int64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	served := make(chan error, 1)
	go func() { served <- serveOnce(listener, server) }()
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: patience}, "tcp", listener.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := <-served; err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func serveOnce(listener net.Listener, config *tls.Config) error {
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	return tls.Server(conn, config).Handshake()
}

func TestPeersNeedOneAuthority(t *testing.T) {
	g := gomega.NewWithT(t)
	ours, theirs := newAuthority(g), newAuthority(g)
	server, err := Open(ours.write(g, t.TempDir(), 7))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	friend, err := Open(ours.write(g, t.TempDir(), 8))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stranger, err := Open(theirs.write(g, t.TempDir(), 9))
	g.Expect(err).NotTo(gomega.HaveOccurred())

	g.Expect(handshake(friend.Client(), server.Server())).To(gomega.Equal(int64(7)))
	_, err = handshake(stranger.Client(), server.Server())
	g.Expect(err).To(gomega.HaveOccurred(), "a server of another authority")
	trusting := stranger.Client()
	trusting.VerifyConnection = nil
	_, err = handshake(trusting, server.Server())
	g.Expect(err).To(gomega.HaveOccurred(), "a client of another authority")
}

func TestFilesAreReadAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	a, dir := newAuthority(g), t.TempDir()
	source, err := Open(a.write(g, dir, 7))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	later := time.Now().Add(time.Minute)
	renew := func(serial int64) {
		files := a.write(g, dir, serial)
		g.Expect(os.Chtimes(files.Certificate, later, later)).To(gomega.Succeed())
		source.checked = time.Time{} // the interval between looks has passed
	}
	renew(8)
	g.Expect(handshake(source.Client(), source.Server())).To(gomega.Equal(int64(8)))

	later = later.Add(time.Minute)
	g.Expect(os.WriteFile(filepath.Join(dir, "key"), []byte("half a file"), 0o600)).To(gomega.Succeed())
	source.checked = time.Time{}
	g.Expect(handshake(source.Client(), source.Server())).To(gomega.Equal(int64(8)), "unusable files leave the last good ones")
}
