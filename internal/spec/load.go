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
	// FleetFileName is the name of the one file with teams, pools and zones.
	FleetFileName = "fleet.json"
	// ServiceFileName is the name of the file beside each service's code.
	ServiceFileName = "sardinehead.json"
)

// ErrUnreadable is returned when a file or directory of the tree cannot be read.
var ErrUnreadable = errors.New("operators' files cannot be read")

// Load reads and checks the tree of operators' files below a directory. The
// error is strictjson.Problems with every error of every file, or wraps
// ErrUnreadable.
func Load(dir string) (Fleet, error) {
	return LoadFS(os.DirFS(dir))
}

// LoadFS reads and checks the tree of operators' files of a file system, as
// Load does. Warnings are dropped.
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

// Check reads the tree of operators' files of a file system and returns all
// errors and warnings. The fleet may be used only if none is an error. The
// error wraps ErrUnreadable.
func Check(fsys fs.FS) (Fleet, strictjson.Problems, error) {
	files, err := collect(fsys)
	if err != nil {
		return Fleet{}, nil, err
	}
	t := decodeTree(files)
	t.check()
	t.applyDefaults()
	fleet := t.fleet
	for _, s := range t.services {
		fleet.Services = append(fleet.Services, *s.service)
	}
	return fleet.Normalized(), t.allProblems(), nil
}

// file is one operators' file as it was read.
type file struct {
	name string
	data []byte
}

// collect returns the operators' files of the tree in lexical order of their
// paths. It does not enter directories whose names begin with a dot.
func collect(fsys fs.FS) ([]file, error) {
	var files []file
	err := fs.WalkDir(fsys, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return skipHidden(name)
		}
		base := path.Base(name)
		if base != FleetFileName && base != ServiceFileName {
			return nil
		}
		data, err := fs.ReadFile(fsys, name)
		files = append(files, file{name: name, data: data})
		return err
	})
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "reading the tree"), ErrUnreadable)
	}
	return files, nil
}

func skipHidden(name string) error {
	if name != "." && strings.HasPrefix(path.Base(name), ".") {
		return fs.SkipDir
	}
	return nil
}
