// Package demo runs a whole mesh on loopback: stand-ins, one node process for each upstream, callers that
// replay a generated trace, and the events of that trace.
package demo

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// ErrInvalidDeployment means that the declared files or the example keys cannot be used.
var ErrInvalidDeployment = errors.New("the deployment cannot be used")

// Deployment is a declared configuration with the secrets of its keys.
type Deployment struct {
	Name    string
	Objects config.Objects
	// Secrets are the keys by id.
	Secrets map[string]string
}

// LoadDeployment reads directory/declared/*.json and directory/example-keys.json.
func LoadDeployment(directory string) (*Deployment, error) {
	names, err := filepath.Glob(filepath.Join(directory, "declared", "*.json"))
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("%w: no declared/*.json in %s; name a directory of examples/", ErrInvalidDeployment, directory)
	}
	files := make(map[string][]byte, len(names))
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		files[filepath.Base(name)] = data
	}
	objects, faults := config.ParseAndValidate(files)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	secrets, err := readSecrets(filepath.Join(directory, "example-keys.json"))
	if err != nil {
		return nil, err
	}
	d := &Deployment{Name: filepath.Base(directory), Objects: objects, Secrets: secrets}
	return d, d.check()
}

func readSecrets(file string) (map[string]string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	secrets := map[string]string{}
	if err := json.Unmarshal(data, &secrets); err != nil {
		return nil, fmt.Errorf("%w: %s is not an object of key ids and keys: %w", ErrInvalidDeployment, file, err)
	}
	return secrets, nil
}

// check compares the secrets with the declared digests.
func (d *Deployment) check() error {
	for i := range d.Objects.Keys {
		k := &d.Objects.Keys[i]
		if secret, known := d.Secrets[k.ID]; known && config.KeyDigest(secret) != k.Digest {
			return fmt.Errorf("%w: the example key %q does not match its declared digest", ErrInvalidDeployment, k.ID)
		}
	}
	return nil
}
