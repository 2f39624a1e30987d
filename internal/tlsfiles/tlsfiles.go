// Package tlsfiles serves TLS from PEM files and reads them again when they
// change, so that certificates are renewed without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// ErrUnusable is returned when the files hold no usable certificate.
var ErrUnusable = errors.New("TLS files cannot be used")

// Files names the PEM files of one side.
type Files struct {
	Certificate string
	Key         string
	// Authority, if set, is the bundle that the other end's certificate must
	// be signed by.
	Authority string
}

// Source gives TLS configurations from files.
type Source struct {
	files Files

	mu      sync.Mutex
	checked time.Time
	stamp   stamp
	current *tls.Config
}

// stamp tells whether the files changed.
type stamp [3]time.Time

// Open reads the files. It fails with ErrUnusable.
func Open(files Files) (*Source, error) {
	s := &Source{files: files}
	config, err := files.load()
	if err != nil {
		return nil, err
	}
	s.current = config
	s.stamp = files.stamp()
	s.checked = time.Now()
	return s, nil
}

// Server returns a configuration for a listener. Each handshake uses the files
// as they are; files that cannot be used leave the last good ones in force.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.latest(), nil },
	}
}

// Client returns a configuration for calls to peers. The other end's
// certificate must be signed by the authority; since peers are addressed by IP
// number, the signature counts and not the name.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.latest().Certificates[0], nil
		},
		// VerifyConnection replaces the check that is turned off here.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}
}

func (s *Source) verify(state tls.ConnectionState) error {
	options := x509.VerifyOptions{Roots: s.latest().ClientCAs, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "certificate of the peer")
}

// latest returns the configuration of the files as they are.
func (s *Source) latest() *tls.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checked) < checkInterval {
		return s.current
	}
	s.checked = now
	if changed := s.files.stamp(); changed != s.stamp {
		if config, err := s.files.load(); err == nil {
			s.current = config
			s.stamp = changed
		}
	}
	return s.current
}

func (f Files) stamp() stamp {
	var out stamp
	for i, path := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(path); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

func (f Files) load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "certificate and key"), ErrUnusable)
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
		return nil, errors.Mark(errors.Wrap(err, "authority"), ErrUnusable)
	}
	config.ClientCAs = x509.NewCertPool()
	if !config.ClientCAs.AppendCertsFromPEM(bundle) {
		return nil, errors.Wrapf(ErrUnusable, "no certificate in %s", f.Authority)
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}
