package spec

import (
	"io/fs"
	"os"
	"path"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/strictjson"
)

const (
	// FleetFileName is the name of the fleet file: the regions, teams, pools and
	// maintenance of the fleet. A tree has exactly one.
	FleetFileName = "fleet.json"
	// ServiceFileName is the name of a service file, which is kept next to the
	// code of its service.
	ServiceFileName = "sardinehead.json"
)

// ErrUnreadable is returned if a file or directory of the tree cannot be read.
var ErrUnreadable = errors.New("operators' files cannot be read")

// Load reads and checks the operators' files in a directory and everything
// below it. The error is strictjson.Problems with the problems of all files, or
// wraps ErrUnreadable.
func Load(dir string) (Fleet, error) {
	return LoadFS(os.DirFS(dir))
}

// LoadFS is Load for a file system. Without an error, warnings are dropped.
func LoadFS(fsys fs.FS) (Fleet, error) {
	fleet, problems, err := Check(fsys)
	if err != nil {
		return Fleet{}, err
	}
	if err := problems.Err(); err != nil {
		return Fleet{}, err
	}
	return fleet, nil
}

// Check reads and checks all operators' files of a file system, and returns all
// problems, warnings included. The fleet may be used only if no problem is an
// error. The returned error wraps ErrUnreadable.
func Check(fsys fs.FS) (Fleet, strictjson.Problems, error) {
	files, err := readFiles(fsys)
	if err != nil {
		return Fleet{}, nil, err
	}
	t := decodeFiles(files)
	t.check()
	t.applyDefaults()
	fleet := t.fleet
	for _, s := range t.services {
		fleet.Services = append(fleet.Services, *s.service)
	}
	return fleet.Normalized(), t.allProblems(), nil
}

// operatorFile is the path and the content of an operators' file.
type operatorFile struct {
	path string
	data []byte
}

// readFiles returns the operators' files of a file system in lexical order of
// their paths. It skips directories whose names begin with a dot.
func readFiles(fsys fs.FS) ([]operatorFile, error) {
	var files []operatorFile
	err := fs.WalkDir(fsys, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return skipHiddenDir(name)
		}
		base := path.Base(name)
		if base != FleetFileName && base != ServiceFileName {
			return nil
		}
		data, err := fs.ReadFile(fsys, name)
		files = append(files, operatorFile{path: name, data: data})
		return err
	})
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read operators' files"), ErrUnreadable)
	}
	return files, nil
}

// skipHiddenDir returns fs.SkipDir for a directory whose name begins with a dot.
func skipHiddenDir(name string) error {
	if name != "." && strings.HasPrefix(path.Base(name), ".") {
		return fs.SkipDir
	}
	return nil
}
