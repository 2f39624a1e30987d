package settings

import (
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/strictjson"
)

const (
	// DefaultBalancerWait is the default of Times.BalancerWait.
	DefaultBalancerWait = 5 * time.Second
	// DefaultStopTimeout is the default of Times.StopTimeout. It is above the maximum
	// run limit of a service, so that a stop can wait for every request.
	DefaultStopTimeout = 16 * time.Minute
)

// ErrUnreadable is returned if the settings file cannot be read.
var ErrUnreadable = errors.New("the settings file cannot be read")

// ReadFile returns the content of a file.
type ReadFile func(path string) ([]byte, error)

// Load reads and checks a settings file. Relative paths in the file are relative
// to its directory. The error is strictjson.Problems, or wraps ErrUnreadable.
// Without an error, the returned problems are the warnings.
func Load(path string) (Settings, strictjson.Problems, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, errors.Mark(errors.Wrap(err, "settings"), ErrUnreadable)
	}
	s, problems := Check(path, data, os.ReadFile)
	if err := problems.Err(); err != nil {
		return Settings{}, problems, err
	}
	return s, problems, nil
}

// Check decodes and checks the content of the settings file at path. The
// settings may be used only if no problem is an error. read reads the files that
// the settings name.
func Check(path string, data []byte, read ReadFile) (Settings, strictjson.Problems) {
	var s Settings
	doc := strictjson.Parse(path, data)
	doc.Decode(&s)
	if doc.Parsed() {
		s.resolvePaths(filepath.Dir(path))
		c := checker{settings: &s, root: doc.Root(), readFileFunc: read}
		c.check()
		s.applyDefaults(doc.Root())
	}
	problems := doc.Problems()
	problems.Sort()
	return s, problems
}

// resolvePaths makes the relative paths in the settings relative to dir.
func (s *Settings) resolvePaths(dir string) {
	paths := []*string{&s.PeerSecretFile}
	for _, l := range []*Listener{&s.Callers, &s.Peers, &s.Operators} {
		paths = append(paths, &l.TLS.Certificate, &l.TLS.Key, &l.TLS.Authority)
	}
	for _, path := range paths {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
}

func (s *Settings) applyDefaults(root strictjson.Cursor) {
	times := root.Field("times")
	if !times.Field("balancer").Present() {
		s.Times.BalancerWait = spec.Duration(DefaultBalancerWait)
	}
	if !times.Field("stop").Present() {
		s.Times.StopTimeout = spec.Duration(DefaultStopTimeout)
	}
}
