package operatorcli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// maxFileBytes bounds the size of a declaration file, so that naming a wrong directory does not exhaust the memory.
const maxFileBytes = 64 << 20

var errNoDeclarations = eris.New("the directory holds no *.json file; name the directory of the declarations")

// readDeclared returns the contents of the declaration files in a directory by file name. Hidden files and files other
// than *.json are ignored.
func readDeclared(dir string) (map[string][]byte, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, eris.Wrap(err, "the directory of declarations cannot be read; check its path")
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
			return nil, eris.Wrap(err, "a declaration file cannot be read; check its permissions")
		}
		if info.Size() > maxFileBytes {
			return nil, eris.Errorf("%s has %d bytes, at most %d are allowed; split it", path, info.Size(), maxFileBytes)
		}
		if files[name], err = os.ReadFile(path); err != nil {
			return nil, eris.Wrap(err, "a declaration file cannot be read; check its permissions")
		}
	}
	if len(files) == 0 {
		return nil, eris.Wrap(errNoDeclarations, dir)
	}
	return files, nil
}

// checkDeclared returns the objects that a directory declares and its files by name. The error is a
// *config.InvalidError if the declarations are not valid.
func checkDeclared(dir string) (config.Objects, map[string][]byte, error) {
	files, err := readDeclared(dir)
	if err != nil {
		return config.Objects{}, nil, err
	}
	objects, faults := config.ParseAndValidate(files)
	return objects, files, faults.Err()
}

// check checks a directory of declarations or a published configuration.
func (s *session) check() error {
	if s.inForce != "" || isFile(s.firstArg) {
		return s.checkPublished()
	}
	return s.checkDirectory()
}

// checkDirectory prints all faults of a directory of declarations. The command fails if there are any.
func (s *session) checkDirectory() error {
	files, err := readDeclared(s.firstArg)
	if err != nil {
		return err
	}
	objects, faults := config.ParseAndValidate(files)
	if s.json {
		// Without faults the output is an empty list, not null.
		encoder := json.NewEncoder(s.stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(append(config.Faults{}, faults...)); err != nil {
			return eris.Wrap(err, "the faults cannot be printed; check the standard output")
		}
	} else {
		for _, line := range faults.Strings() {
			s.printf("%s", line)
		}
	}
	if len(faults) > 0 {
		s.notef("%s: %d faults", s.firstArg, len(faults))
		return errProblemsFound
	}
	s.notef("%s: valid: %d data centres, %d services, %d upstreams, %d routes, %d teams, %d keys, %d objectives", s.firstArg,
		len(objects.DataCentres), len(objects.Services), len(objects.Upstreams), len(objects.Routes), len(objects.Teams), len(objects.Keys), len(objects.Objectives))
	return nil
}
