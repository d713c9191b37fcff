package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxDepth bounds the nesting of a declaration file. The deepest valid value is a string in a list of an object in one
// of the lists of the file.
const maxDepth = 8

// jsonKind is the type of a JSON value.
type jsonKind int

const (
	kindNull jsonKind = iota
	kindObject
	kindList
	kindString
	kindNumber
	kindBoolean
)

// String returns the name of the JSON type with its article, for messages.
func (k jsonKind) String() string {
	return [...]string{"null", "an object", "a list", "a string", "a number", "a boolean"}[k]
}

// jsonValue is a JSON value that keeps the order of its fields and repeated fields. The encoding/json package ignores
// the case of field names and takes the last of two equal fields, so it cannot report either mistake.
type jsonValue struct {
	kind    jsonKind
	text    string
	boolean bool
	items   []jsonValue
	fields  []jsonField
}

// jsonField is one field of a JSON object.
type jsonField struct {
	name  string
	value jsonValue
}

// objectName returns the value of the field "name" or "id", or an empty string.
func (v *jsonValue) objectName() string {
	for i := range v.fields {
		f := &v.fields[i]
		if (f.name == "name" || f.name == "id") && f.value.kind == kindString {
			return f.value.text
		}
	}
	return ""
}

// parseJSON reads one JSON value. Its errors state the line and the remedy but no content, which may hold a plain key.
func parseJSON(data []byte) (jsonValue, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	root, err := readValue(dec, 0)
	if err == nil {
		_, err = dec.Token()
		if errors.Is(err, io.EOF) {
			return root, nil
		}
		if err == nil {
			err = errTrailingText
		}
	}
	line := 1 + bytes.Count(data[:min(int(dec.InputOffset()), len(data))], []byte("\n"))
	if errors.Is(err, errTrailingText) || errors.Is(err, errTooDeep) {
		return jsonValue{}, fmt.Errorf("line %d: %w", line, err)
	}
	return jsonValue{}, fmt.Errorf("line %d: correct the JSON syntax at or after this line, then check again", line)
}

var (
	errTrailingText = errors.New("remove the text after the JSON value")
	errTooDeep      = errors.New("lists and objects are nested too deeply; declare each object directly in its list")
)

// readValue reads the next value; depth is the number of lists and objects that contain it.
func readValue(dec *json.Decoder, depth int) (jsonValue, error) {
	if depth > maxDepth {
		return jsonValue{}, errTooDeep
	}
	token, err := dec.Token()
	if err != nil {
		return jsonValue{}, err
	}
	switch t := token.(type) {
	case json.Delim:
		if t == '{' {
			return readObject(dec, depth)
		}
		return readList(dec, depth)
	case string:
		return jsonValue{kind: kindString, text: t}, nil
	case json.Number:
		return jsonValue{kind: kindNumber, text: t.String()}, nil
	case bool:
		return jsonValue{kind: kindBoolean, boolean: t}, nil
	}
	return jsonValue{kind: kindNull}, nil
}

func readObject(dec *json.Decoder, depth int) (jsonValue, error) {
	object := jsonValue{kind: kindObject, fields: make([]jsonField, 0, 8)}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return jsonValue{}, err
		}
		name, _ := token.(string)
		value, err := readValue(dec, depth+1)
		if err != nil {
			return jsonValue{}, err
		}
		object.fields = append(object.fields, jsonField{name: name, value: value})
	}
	_, err := dec.Token()
	return object, err
}

func readList(dec *json.Decoder, depth int) (jsonValue, error) {
	list := jsonValue{kind: kindList}
	for dec.More() {
		value, err := readValue(dec, depth+1)
		if err != nil {
			return jsonValue{}, err
		}
		list.items = append(list.items, value)
	}
	_, err := dec.Token()
	return list, err
}
