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

// keyBytes is the number of random bytes in a generated key: 256 bits.
const keyBytes = 32

var (
	errUnknownObject = eris.New("no such object is declared; check its name")
	errUnknownTeam   = eris.New("no such team is declared; declare the team first")
)

// applyEdit validates the declarations with a changed file, builds the next bundle if --out is given, and only then
// writes anything. It writes the declaration file before the bundle: if writing the bundle fails, the next build
// includes the change.
func (s *session) applyEdit(files map[string][]byte, file string, content []byte) error {
	changed := maps.Clone(files)
	changed[file] = content
	objects, faults := config.ParseAndValidate(changed)
	if err := faults.Err(); err != nil {
		return eris.Wrap(err, "nothing was changed")
	}
	var built *bundle.Bundle
	var previous previousVersion
	if s.out != "" {
		var err error
		if built, previous, err = s.buildNext(objects); err != nil {
			return err
		}
		// Nodes may already run a higher version and would then refuse the guessed number 1.
		if previous.manifest == nil && s.version == 0 {
			return errNoPrevious
		}
	}
	if err := bundle.WriteFileAtomically(filepath.Join(s.dir, file), content); err != nil {
		return err
	}
	if built == nil {
		return nil
	}
	return s.writeBundle(built, previous)
}

// setObjectField changes one string field of the declared object with the name s.name. kind names the kind of object in
// messages.
func (s *session) setObjectField(list, kind, nameField, field, value string) error {
	if err := requireFlag("dir", s.dir); err != nil {
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
		return eris.Wrapf(errUnknownObject, "%s %q", kind, s.name)
	}
	if err := s.applyEdit(files, file, content); err != nil {
		return err
	}
	s.notef("%s: %s %q is %q", filepath.Join(s.dir, file), kind, s.name, value)
	return nil
}

func (s *session) setDataCentre(state string) error {
	return s.setObjectField("data_centres", "data centre", "name", "state", state)
}

func (s *session) withdrawKey() error {
	return s.setObjectField("keys", "key", "id", "state", string(config.KeyWithdrawn))
}

// grantKey generates a key, declares its digest and then prints the key, which is not stored.
func (s *session) grantKey() error {
	if err := requireFlag("dir", s.dir); err != nil {
		return err
	}
	if err := requireFlag("team", s.team); err != nil {
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
	if err := s.applyEdit(files, file, content); err != nil {
		return err
	}
	s.notef("%s: key %q of team %q is granted; it is shown only now:", filepath.Join(s.dir, file), granted.ID, s.team)
	s.printf("%s", key)
	return nil
}

// freeKeyID returns the team's name with the lowest number that no declared key of the team has. Withdrawn keys stay
// declared, so that no number is used twice.
func freeKeyID(set *config.Set, team string) string {
	for n := 1; ; n++ {
		if id := fmt.Sprintf("%s-%d", team, n); set.Key(id) == nil {
			return id
		}
	}
}

// addKey appends the key to the first file with a list of keys, or to a new file keys.json if there is none. It returns
// the name and the new content of the file.
func addKey(files map[string][]byte, key config.Key) (file string, content []byte, err error) {
	for _, name := range slices.Sorted(maps.Keys(files)) {
		content, ok, err := appendKey(files[name], key)
		if err != nil {
			return "", nil, eris.Wrapf(err, "%s cannot be edited; run bamboodeal check", name)
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
