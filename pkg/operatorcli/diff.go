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

// diff prints the objects that differ, one a line: "+" added, "-" removed, "~" changed with its fields.
func (s *session) diff() error {
	old, err := loadSet(s.first)
	if err != nil {
		return err
	}
	next, err := loadSet(s.second)
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

// loadSet reads a bundle, which is a directory with a manifest, or a directory of declarations.
func loadSet(dir string) (config.Objects, error) {
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

// record is an object by JSON field.
type record map[string]json.RawMessage

// name returns the object's name or id.
func (r record) name() string {
	for _, field := range []string{"name", "id"} {
		if raw, ok := r[field]; ok {
			return string(raw)
		}
	}
	return ""
}

func diffObjects(old, next config.Objects) ([]string, error) {
	before, err := records(old)
	if err != nil {
		return nil, err
	}
	after, err := records(next)
	if err != nil {
		return nil, err
	}
	all := maps.Clone(before)
	maps.Copy(all, after)
	var lines []string
	for _, label := range slices.Sorted(maps.Keys(all)) {
		was, existed := before[label]
		is, exists := after[label]
		switch {
		case !existed:
			lines = append(lines, "+ "+label)
		case !exists:
			lines = append(lines, "- "+label)
		default:
			if changes := diffFields(was, is); changes != "" {
				lines = append(lines, "~ "+label+": "+changes)
			}
		}
	}
	return lines, nil
}

// records returns all objects by list and name.
func records(o config.Objects) (map[string]record, error) {
	data, err := json.Marshal(o)
	if err != nil {
		return nil, eris.Wrap(err, "list the objects")
	}
	var lists map[string][]record
	if err := json.Unmarshal(data, &lists); err != nil {
		return nil, eris.Wrap(err, "list the objects")
	}
	all := map[string]record{}
	for list, items := range lists {
		for _, item := range items {
			all[list+" "+item.name()] = item
		}
	}
	return all, nil
}

func diffFields(was, is record) string {
	fields := maps.Clone(was)
	maps.Copy(fields, is)
	var changes []string
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		before, after := string(was[field]), string(is[field])
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
