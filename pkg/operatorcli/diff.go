package operatorcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/config"
)

// diff compares two bundles, directories of declarations or published configurations.
func (s *session) diff() error {
	switch {
	case isFile(s.firstArg) || isFile(s.secondArg):
		return s.diffPublished()
	case s.json:
		return eris.Wrap(errUsage, "diff takes --json only for published files")
	}
	return s.diffDirectories()
}

// diffDirectories prints the objects that differ, one per line: "+" for an added object, "-" for a removed one, and "~"
// for a changed one, followed by its changed fields.
func (s *session) diffDirectories() error {
	old, err := readObjects(s.firstArg)
	if err != nil {
		return err
	}
	next, err := readObjects(s.secondArg)
	if err != nil {
		return err
	}
	lines, err := diffObjects(old, next)
	if err != nil {
		return err
	}
	for _, line := range lines {
		s.printf("%s", line)
	}
	s.notef("objects that differ: %d", len(lines))
	return nil
}

// readObjects reads the objects of a bundle, which is a directory with a manifest, or of a directory of declarations.
func readObjects(dir string) (config.Objects, error) {
	_, err := os.Stat(filepath.Join(dir, bundle.ManifestFile))
	if errors.Is(err, fs.ErrNotExist) {
		objects, _, err := checkDeclared(dir)
		return objects, eris.Wrap(err, dir)
	}
	b, err := bundle.ReadDirectory(dir)
	if err != nil {
		return config.Objects{}, err
	}
	set, err := bundle.DecodeSet(b.ManifestBytes, b.Values)
	if err != nil {
		return config.Objects{}, err
	}
	return set.Objects, nil
}

// objectFields holds the JSON fields of an object by name.
type objectFields map[string]json.RawMessage

// name returns the object's name or ID as JSON.
func (f objectFields) name() string {
	for _, field := range []string{"name", "id"} {
		if raw, ok := f[field]; ok {
			return string(raw)
		}
	}
	return ""
}

// diffObjects returns the lines that diff prints.
func diffObjects(old, next config.Objects) ([]string, error) {
	before, err := objectsByLabel(old)
	if err != nil {
		return nil, err
	}
	after, err := objectsByLabel(next)
	if err != nil {
		return nil, err
	}
	all := maps.Clone(before)
	maps.Copy(all, after)
	var lines []string
	for _, label := range slices.Sorted(maps.Keys(all)) {
		oldFields, existed := before[label]
		newFields, exists := after[label]
		switch {
		case !existed:
			lines = append(lines, "+ "+label)
		case !exists:
			lines = append(lines, "- "+label)
		default:
			if changes := diffFields(oldFields, newFields); changes != "" {
				lines = append(lines, "~ "+label+": "+changes)
			}
		}
	}
	return lines, nil
}

// objectsByLabel returns all objects by label, which is the name of their list and their own name.
func objectsByLabel(o config.Objects) (map[string]objectFields, error) {
	data, err := json.Marshal(o)
	if err != nil {
		return nil, eris.Wrap(err, "the objects cannot be encoded as JSON")
	}
	var lists map[string][]objectFields
	if err := json.Unmarshal(data, &lists); err != nil {
		return nil, eris.Wrap(err, "the objects cannot be encoded as JSON")
	}
	all := map[string]objectFields{}
	for list, items := range lists {
		for _, item := range items {
			all[list+" "+item.name()] = item
		}
	}
	return all, nil
}

// diffFields describes the fields in which two versions of an object differ; it returns "" if there are none.
func diffFields(oldFields, newFields objectFields) string {
	fields := maps.Clone(oldFields)
	maps.Copy(fields, newFields)
	var changes []string
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		before, after := string(oldFields[field]), string(newFields[field])
		if before != after {
			changes = append(changes, fmt.Sprintf("%s %s -> %s", field, orNone(before), orNone(after)))
		}
	}
	return strings.Join(changes, ", ")
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
