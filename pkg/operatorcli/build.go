package operatorcli

import (
	"errors"
	"io/fs"

	"github.com/rotisserie/eris"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/config"
)

var (
	errVersionNotHigher = eris.New("the version is not higher than the last one, so no node would adopt it")
	errNoPrevious       = eris.New("the last published version is not known; name its bundle with --previous, " +
		"or give a higher number with --version")
)

// previousVersion describes the versions that the next version must follow.
type previousVersion struct {
	// manifest is the manifest of the parent of the next version; it is nil if the next version is the first one.
	manifest *bundle.Manifest
	// highest is the highest known version number.
	highest uint64
}

// readPrevious reads the manifests of the bundle that is given with --previous and of the one in --out, which would be
// replaced.
func (s *session) readPrevious() (previousVersion, error) {
	var previous previousVersion
	for _, dir := range []string{s.previous, s.out} {
		if dir == "" {
			continue
		}
		m, err := bundle.ReadManifest(dir)
		if dir == s.out && errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return previousVersion{}, err
		}
		if previous.manifest == nil {
			previous.manifest = m
		}
		previous.highest = max(previous.highest, m.Version)
	}
	return previous, nil
}

// buildNext builds the bundle of the next version. It writes nothing.
func (s *session) buildNext(objects config.Objects) (*bundle.Bundle, previousVersion, error) {
	previous, err := s.readPrevious()
	if err != nil {
		return nil, previous, err
	}
	version := s.version
	if version == 0 {
		version = previous.highest + 1
	}
	if version <= previous.highest {
		return nil, previous, eris.Wrapf(errVersionNotHigher, "version %d, choose at least %d", version, previous.highest+1)
	}
	parent := ""
	if previous.manifest != nil {
		parent = previous.manifest.ID().Digest
	}
	built, err := bundle.Build(objects, version, parent)
	return built, previous, err
}

// build builds a bundle from a directory of declarations and writes it.
func (s *session) build() error {
	if err := requireFlag("out", s.out); err != nil {
		return err
	}
	objects, _, err := checkDeclared(s.firstArg)
	if err != nil {
		return err
	}
	built, previous, err := s.buildNext(objects)
	if err != nil {
		return err
	}
	return s.writeBundle(built, previous)
}

// writeBundle writes a bundle and prints how many of its values the previous version did not have.
func (s *session) writeBundle(built *bundle.Bundle, previous previousVersion) error {
	if err := built.WriteDirectory(s.out); err != nil {
		return err
	}
	oldValues := map[string]bool{}
	if previous.manifest != nil {
		for _, v := range previous.manifest.Values {
			oldValues[v.Digest] = true
		}
	}
	newValues, newBytes := 0, 0
	for _, v := range built.Manifest.Values {
		if !oldValues[v.Digest] {
			newValues++
			newBytes += v.Size
		}
	}
	s.notef("%s: version %d, digest %s, %d values, %d of them new (%d bytes); publish the values, then the manifest",
		s.out, built.Manifest.Version, built.ID().Digest, len(built.Manifest.Values), newValues, newBytes)
	return nil
}
