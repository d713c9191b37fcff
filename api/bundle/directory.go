package bundle

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

const (
	// ManifestFile is the name of the manifest's file in a bundle's directory.
	ManifestFile = "manifest.json"
	// ValuesDirectory is the subdirectory with one file for each value, whose name is the value's digest.
	ValuesDirectory = "values"
)

// WriteFileAtomically writes or replaces a file so that readers see either the old or the new content. An existing file
// keeps its permissions. If path is a symbolic link, its target is replaced.
func WriteFileAtomically(path string, data []byte) error {
	mode := fs.FileMode(0o644)
	if target, err := filepath.EvalSymlinks(path); err == nil {
		path = target
		if info, err := os.Stat(path); err == nil {
			mode = info.Mode().Perm()
		}
	}
	temporary, err := os.CreateTemp(filepath.Dir(path), ".tmp-*")
	if err != nil {
		return eris.Wrap(err, "create a temporary file; check that the directory can be written")
	}
	defer func() { _ = os.Remove(temporary.Name()) }()
	_, err = temporary.Write(data)
	err = errors.Join(err, temporary.Chmod(mode), temporary.Sync(), temporary.Close())
	if err != nil {
		return eris.Wrapf(err, "write %s", path)
	}
	return eris.Wrapf(os.Rename(temporary.Name(), path), "replace %s", path)
}

// WriteDirectory writes the values and then the manifest, so that the manifest in the directory never lists a value
// that is missing. Values of older versions are kept.
func (b *Bundle) WriteDirectory(dir string) error {
	values := filepath.Join(dir, ValuesDirectory)
	if err := os.MkdirAll(values, 0o755); err != nil {
		return eris.Wrap(err, "create the bundle's directory")
	}
	for _, v := range b.Manifest.Values {
		path := filepath.Join(values, v.Digest)
		if old, err := os.ReadFile(path); err == nil && v.Verify(old) == nil {
			continue
		}
		if err := WriteFileAtomically(path, b.Values[v.Digest]); err != nil {
			return err
		}
	}
	return WriteFileAtomically(filepath.Join(dir, ManifestFile), b.ManifestBytes)
}

// ReadManifest reads the manifest in a bundle's directory. The error wraps fs.ErrNotExist when there is none.
func ReadManifest(dir string) (*Manifest, error) {
	data, err := os.ReadFile(filepath.Join(dir, ManifestFile))
	if err != nil {
		return nil, eris.Wrapf(err, "read the manifest of %s", dir)
	}
	m, err := ParseManifest(data)
	return m, eris.Wrapf(err, "%s", filepath.Join(dir, ManifestFile))
}

// ReadDirectory reads the bundle in a directory and verifies it with DecodeSet.
func ReadDirectory(dir string) (*Bundle, error) {
	m, err := ReadManifest(dir)
	if err != nil {
		return nil, err
	}
	b := &Bundle{Manifest: *m, ManifestBytes: m.Bytes(), Values: map[string][]byte{}}
	for _, v := range m.Values {
		data, err := os.ReadFile(filepath.Join(dir, ValuesDirectory, v.Digest))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, eris.Wrapf(err, "read value %q", v.Name)
		}
		b.Values[v.Digest] = data
	}
	if _, err := DecodeSet(b.ManifestBytes, b.Values); err != nil {
		return nil, eris.Wrapf(err, "open the bundle in %s", dir)
	}
	return b, nil
}
