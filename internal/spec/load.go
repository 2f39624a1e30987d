package spec

import (
	"bytes"
	"encoding/json"
	"io/fs"
	"os"
	"path"
	"sort"

	"github.com/cockroachdb/errors"
)

const (
	// FleetFileName is the name of the one file with teams, pools and zones.
	FleetFileName = "fleet.json"
	// ServiceFileName is the name of the file beside each service's code.
	ServiceFileName = "sardinehead.json"
)

// Load reads the tree of operators' files below a directory.
func Load(dir string) (Fleet, error) {
	return LoadFS(os.DirFS(dir))
}

// LoadFS reads the tree of operators' files of a file system.
func LoadFS(fsys fs.FS) (Fleet, error) {
	var fleet Fleet
	err := fs.WalkDir(fsys, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		switch path.Base(name) {
		case FleetFileName:
			return decodeFile(fsys, name, &fleet)
		case ServiceFileName:
			service := Service{File: name}
			if err := decodeFile(fsys, name, &service); err != nil {
				return err
			}
			fleet.Services = append(fleet.Services, service)
		}
		return nil
	})
	sort.Slice(fleet.Services, func(i, j int) bool { return fleet.Services[i].Queue < fleet.Services[j].Queue })
	return fleet, err
}

func decodeFile(fsys fs.FS, name string, into any) error {
	data, err := fs.ReadFile(fsys, name)
	if err != nil {
		return errors.Wrapf(err, "reading %s", name)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return errors.Wrapf(dec.Decode(into), "file %s", name)
}
