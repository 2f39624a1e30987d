// Package tlsfiles provides TLS configurations from PEM files. It reloads files that
// have changed, so that certificates can be renewed without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is the minimum time between two checks whether the files changed.
const checkInterval = time.Second

// ErrUnusable is returned if the files contain no usable certificate.
var ErrUnusable = errors.New("TLS files are not usable")

// Files holds the paths of the PEM files for one listener.
type Files struct {
	Certificate string
	Key         string
	// Authority, if set, is the bundle of CA certificates, one of which must have
	// signed the certificate of the remote end.
	Authority string
}

// Source provides TLS configurations from files.
type Source struct {
	files Files

	mu        sync.Mutex
	lastCheck time.Time
	// loaded holds the modification times of the files that config was loaded from.
	loaded modTimes
	config *tls.Config
}

// modTimes holds the modification times of the certificate, key and authority files.
type modTimes [3]time.Time

// Open loads the files. It fails with ErrUnusable.
func Open(files Files) (*Source, error) {
	s := &Source{files: files}
	config, err := files.load()
	if err != nil {
		return nil, err
	}
	s.config = config
	s.loaded = files.modTimes()
	s.lastCheck = time.Now()
	return s, nil
}

// Server returns a configuration for a listener. Each handshake uses the current
// content of the files, or the last usable content if they are not usable.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.currentConfig(), nil },
	}
}

// Client returns a configuration for calls to peers. The server's certificate must
// be signed by the authority. Its host name is not verified, because peers are
// addressed by IP address.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.currentConfig().Certificates[0], nil
		},
		// The default verification includes the host name. VerifyConnection
		// replaces it.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyPeer,
	}
}

// verifyPeer verifies the server's certificate chain against the authority.
func (s *Source) verifyPeer(state tls.ConnectionState) error {
	options := x509.VerifyOptions{Roots: s.currentConfig().ClientCAs, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "verifying the peer's certificate")
}

// currentConfig reloads the files if they have changed, and returns the configuration.
func (s *Source) currentConfig() *tls.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.lastCheck) < checkInterval {
		return s.config
	}
	s.lastCheck = now
	if times := s.files.modTimes(); times != s.loaded {
		if config, err := s.files.load(); err == nil {
			s.config = config
			s.loaded = times
		}
	}
	return s.config
}

// modTimes returns the current modification times; zero for a file whose status
// cannot be read.
func (f Files) modTimes() modTimes {
	var out modTimes
	for i, path := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(path); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// load reads the files and returns the TLS configuration for a server.
func (f Files) load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "loading the certificate and key"), ErrUnusable)
	}
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{pair},
		NextProtos:   []string{"h2", "http/1.1"},
	}
	if f.Authority == "" {
		return config, nil
	}
	bundle, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "reading the authority"), ErrUnusable)
	}
	config.ClientCAs = x509.NewCertPool()
	if !config.ClientCAs.AppendCertsFromPEM(bundle) {
		return nil, errors.Wrapf(ErrUnusable, "no certificate in %s", f.Authority)
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}
