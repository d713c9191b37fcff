package operatorcli

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// byteRange is a range of bytes in a file; the byte at end is not part of it.
type byteRange struct{ start, end int }

// objectPosition is the position of an object, and of the values of its fields, in a file.
type objectPosition struct {
	byteRange
	fields map[string]byteRange
}

// stringField returns the string value of a field, or "" if the object has no such string.
func (p objectPosition) stringField(data []byte, field string) string {
	var value string
	if at, ok := p.fields[field]; ok {
		_ = json.Unmarshal(data[at.start:at.end], &value)
	}
	return value
}

// scanner finds the positions of values in a declaration file that is known to be valid. Edits replace only these
// bytes, so that the order, the layout and the other objects of the file stay as the operators wrote them.
type scanner struct {
	data []byte
	dec  *json.Decoder
}

// offset returns the position after the last token and the separators that follow it.
func (s *scanner) offset(separators string) int {
	at := int(s.dec.InputOffset())
	for at < len(s.data) && bytes.IndexByte([]byte(separators), s.data[at]) >= 0 {
		at++
	}
	return at
}

// value skips one value and returns its position.
func (s *scanner) value() (byteRange, error) {
	start := s.offset(" \t\r\n:,")
	var raw json.RawMessage
	err := s.dec.Decode(&raw)
	return byteRange{start, int(s.dec.InputOffset())}, err
}

// object skips one object and returns its position and those of its fields.
func (s *scanner) object() (objectPosition, error) {
	position := objectPosition{fields: map[string]byteRange{}}
	position.start = s.offset(" \t\r\n,")
	if _, err := s.dec.Token(); err != nil {
		return position, err
	}
	for s.dec.More() {
		token, err := s.dec.Token()
		if err != nil {
			return position, err
		}
		name, _ := token.(string)
		if position.fields[name], err = s.value(); err != nil {
			return position, err
		}
	}
	_, err := s.dec.Token()
	position.end = int(s.dec.InputOffset())
	return position, err
}

// locateList returns the positions of the objects of a list in a file and the range between the list's brackets; ok is
// false when the file has no such list.
func locateList(data []byte, list string) (items []objectPosition, inside byteRange, ok bool, err error) {
	s := &scanner{data: data, dec: json.NewDecoder(bytes.NewReader(data))}
	if _, err := s.dec.Token(); err != nil {
		return nil, byteRange{}, false, err
	}
	for s.dec.More() {
		name, err := s.dec.Token()
		if err != nil {
			return nil, byteRange{}, false, err
		}
		if name != list {
			if _, err := s.value(); err != nil {
				return nil, byteRange{}, false, err
			}
			continue
		}
		items, inside, err = s.list()
		return items, inside, true, err
	}
	return nil, byteRange{}, false, nil
}

// list skips a list and returns the positions of its objects and the range between its brackets.
func (s *scanner) list() (items []objectPosition, inside byteRange, err error) {
	if _, err := s.dec.Token(); err != nil {
		return nil, inside, err
	}
	inside.start = int(s.dec.InputOffset())
	for s.dec.More() {
		item, err := s.object()
		if err != nil {
			return nil, inside, err
		}
		items = append(items, item)
	}
	_, err = s.dec.Token()
	inside.end = int(s.dec.InputOffset()) - 1
	return items, inside, err
}

// replaceRange returns a copy of data in which a range of bytes is replaced.
func replaceRange(data []byte, at byteRange, text []byte) []byte {
	return bytes.Join([][]byte{data[:at.start], text, data[at.end:]}, nil)
}

// setField replaces a string field of the object in the list whose nameField has the given name. It returns the name
// and the new content of the changed file, or an empty name when no file declares the object.
func setField(files map[string][]byte, list, nameField, name, field, value string) (string, []byte, error) {
	for file, data := range files {
		items, _, _, err := locateList(data, list)
		if err != nil {
			return "", nil, eris.Wrapf(err, "%s cannot be edited; run bamboodeal check", file)
		}
		for _, item := range items {
			at, ok := item.fields[field]
			if !ok || item.stringField(data, nameField) != name {
				continue
			}
			text, err := json.Marshal(value)
			return file, replaceRange(data, at, text), eris.Wrap(err, "the new value cannot be encoded as JSON")
		}
	}
	return "", nil, nil
}

// appendKey appends a key to the list of keys in a file, with the same indentation as the last key there. ok is false
// when the file has no list of keys.
func appendKey(data []byte, key config.Key) (changed []byte, ok bool, err error) {
	items, inside, ok, err := locateList(data, "keys")
	if err != nil || !ok {
		return nil, false, err
	}
	text, err := json.Marshal(key)
	if err != nil {
		return nil, false, err
	}
	if len(items) == 0 {
		return replaceRange(data, inside, append(append([]byte("\n    "), text...), "\n  "...)), true, nil
	}
	last := items[len(items)-1]
	beforeLast := data[:last.start]
	indent := beforeLast[len(bytes.TrimRight(beforeLast, " \t\r\n")):]
	text = append(append([]byte(","), indent...), text...)
	return replaceRange(data, byteRange{last.end, last.end}, text), true, nil
}
