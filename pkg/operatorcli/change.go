package operatorcli

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"maps"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/config"
)

// keyBytes is the strength of a generated key: 256 bits.
const keyBytes = 32

var (
	errUnknownObject = eris.New("no such object is declared; bamboodeal check lists the faults of the declarations")
	errUnknownTeam   = eris.New("no such team is declared; declare the team first")
)

// declare checks the changed declarations, builds the next bundle when one is wanted, and only then writes: the
// file first, so that a failure after it leaves declarations that the next build takes up.
func (s *session) declare(files map[string][]byte, file string, content []byte) error {
	changed := maps.Clone(files)
	changed[file] = content
	objects, faults := config.ParseAndValidate(changed)
	if err := faults.Err(); err != nil {
		return eris.Wrap(err, "nothing was changed")
	}
	var built *bundle.Bundle
	var b base
	if s.out != "" {
		var err error
		if built, b, err = s.next(objects); err != nil {
			return err
		}
		// A guessed first number would be refused by nodes that already run a later version.
		if b.manifest == nil && s.version == 0 {
			return errNoBase
		}
	}
	if err := bundle.WriteFileAtomically(filepath.Join(s.dir, file), content); err != nil {
		return err
	}
	if built == nil {
		return nil
	}
	return s.write(built, b)
}

// set changes one string field of a declared object.
func (s *session) set(list, word, nameField, field, value string) error {
	if err := required("dir", s.dir); err != nil {
		return err
	}
	files, err := readDeclared(s.dir)
	if err != nil {
		return err
	}
	if _, faults := config.ParseAndValidate(files); len(faults) > 0 {
		return eris.Wrap(faults.Err(), "nothing was changed")
	}
	file, content, err := setField(files, list, nameField, s.name, field, value)
	if err != nil {
		return err
	}
	if file == "" {
		return eris.Wrapf(errUnknownObject, "%s %q", word, s.name)
	}
	if err := s.declare(files, file, content); err != nil {
		return err
	}
	s.notef("%s: %s %q is %q", filepath.Join(s.dir, file), word, s.name, value)
	return nil
}

func (s *session) setDataCentre(state string) error {
	return s.set("data_centres", "data centre", "name", "state", state)
}

func (s *session) withdrawKey() error {
	return s.set("keys", "key", "id", "state", string(config.KeyWithdrawn))
}

// grantKey declares the digest of a new key and then prints the key, which is stored nowhere.
func (s *session) grantKey() error {
	if err := required("dir", s.dir); err != nil {
		return err
	}
	if err := required("team", s.team); err != nil {
		return err
	}
	objects, files, err := checkDeclared(s.dir)
	if err != nil {
		return err
	}
	set := config.NewSet(objects)
	if set.Team(s.team) == nil {
		return eris.Wrapf(errUnknownTeam, "%q", s.team)
	}
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // Never fails: the package ends the program instead.
	key := config.KeyPrefix + base64.RawURLEncoding.EncodeToString(secret)
	granted := config.Key{
		ID: freeKeyID(set, s.team), Team: s.team, Digest: config.KeyDigest(key), State: config.KeyGranted,
	}
	file, content, err := addKey(files, granted)
	if err != nil {
		return err
	}
	if err := s.declare(files, file, content); err != nil {
		return err
	}
	s.notef("%s: key %q of team %q is granted; it is shown only now:", filepath.Join(s.dir, file), granted.ID, s.team)
	s.printf("%s", key)
	return nil
}

// freeKeyID returns the team's name with the first number above those of all its keys. Withdrawn keys stay
// declared, so a number is not used twice.
func freeKeyID(set *config.Set, team string) string {
	for n := 1; ; n++ {
		if id := fmt.Sprintf("%s-%d", team, n); set.Key(id) == nil {
			return id
		}
	}
}

// addKey appends the key to the first file that declares keys, else it makes a new file.
func addKey(files map[string][]byte, key config.Key) (file string, content []byte, err error) {
	for _, name := range slices.Sorted(maps.Keys(files)) {
		content, ok, err := appendKey(files[name], key)
		if err != nil {
			return "", nil, eris.Wrapf(err, "edit %s", name)
		}
		if ok {
			return name, content, nil
		}
	}
	if _, taken := files["keys.json"]; taken {
		return "", nil, eris.New(`keys.json has no list "keys"; add an empty one`)
	}
	content, _, err = appendKey([]byte("{\n  \"keys\": []\n}\n"), key)
	return "keys.json", content, err
}
