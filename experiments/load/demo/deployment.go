// Package demo runs a complete mesh on loopback addresses: stand-ins for the platform and the upstreams, one node
// process for each upstream, and callers that replay a generated trace with its events, such as killed nodes.
package demo

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// ErrInvalidDeployment means that the declared files or the example keys of a deployment cannot be used.
var ErrInvalidDeployment = errors.New("the deployment cannot be used")

// Deployment is a declared configuration with the secrets of its keys. Name is the name of its directory.
type Deployment struct {
	Name    string
	Objects config.Objects
	// Secrets holds the secrets of the keys by key ID.
	Secrets map[string]string
}

// LoadDeployment reads directory/declared/*.json and directory/example-keys.json, and checks that they match.
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
	return d, d.checkSecrets()
}

func readSecrets(file string) (map[string]string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	secrets := map[string]string{}
	if err := json.Unmarshal(data, &secrets); err != nil {
		return nil, fmt.Errorf("%w: %s is not a JSON object of key IDs and secrets: %w", ErrInvalidDeployment, file, err)
	}
	return secrets, nil
}

// checkSecrets checks that the secrets match the digests of the declared keys.
func (d *Deployment) checkSecrets() error {
	for i := range d.Objects.Keys {
		k := &d.Objects.Keys[i]
		if secret, known := d.Secrets[k.ID]; known && config.KeyDigest(secret) != k.Digest {
			return fmt.Errorf("%w: the example key %q does not match its declared digest", ErrInvalidDeployment, k.ID)
		}
	}
	return nil
}
