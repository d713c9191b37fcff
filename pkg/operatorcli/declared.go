package operatorcli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// maxFileBytes bounds one declaration file, so that a wrong directory does not fill the memory.
const maxFileBytes = 64 << 20

var errNoDeclarations = eris.New("the directory holds no *.json file; name the directory of the declarations")

// readDeclared returns the declaration files of a directory by name. Other files and hidden ones are ignored.
func readDeclared(dir string) (map[string][]byte, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, eris.Wrap(err, "read the directory of declarations")
	}
	files := map[string][]byte{}
	for _, entry := range entries {
		name := entry.Name()
		if entry.IsDir() || strings.HasPrefix(name, ".") || filepath.Ext(name) != ".json" {
			continue
		}
		path := filepath.Join(dir, name)
		info, err := os.Stat(path)
		if err != nil {
			return nil, eris.Wrap(err, "read a declaration file")
		}
		if info.Size() > maxFileBytes {
			return nil, eris.Errorf("%s has %d bytes, at most %d are allowed; split it", path, info.Size(), maxFileBytes)
		}
		if files[name], err = os.ReadFile(path); err != nil {
			return nil, eris.Wrap(err, "read a declaration file")
		}
	}
	if len(files) == 0 {
		return nil, eris.Wrap(errNoDeclarations, dir)
	}
	return files, nil
}

// checkDeclared returns the objects of a directory, or a *config.InvalidError.
func checkDeclared(dir string) (config.Objects, map[string][]byte, error) {
	files, err := readDeclared(dir)
	if err != nil {
		return config.Objects{}, nil, err
	}
	objects, faults := config.ParseAndValidate(files)
	return objects, files, faults.Err()
}

// check prints all faults of a directory of declarations.
func (s *session) check() error {
	files, err := readDeclared(s.first)
	if err != nil {
		return err
	}
	o, faults := config.ParseAndValidate(files)
	if s.json {
		// An empty list, not null, when there is none.
		encoder := json.NewEncoder(s.stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(append(config.Faults{}, faults...)); err != nil {
			return eris.Wrap(err, "print the faults")
		}
	} else {
		for _, line := range faults.Strings() {
			s.printf("%s", line)
		}
	}
	if len(faults) > 0 {
		s.notef("%s: %d faults", s.first, len(faults))
		return errFound
	}
	s.notef("%s: valid: %d data centres, %d services, %d upstreams, %d routes, %d teams, %d keys, %d objectives", s.first,
		len(o.DataCentres), len(o.Services), len(o.Upstreams), len(o.Routes), len(o.Teams), len(o.Keys), len(o.Objectives))
	return nil
}
