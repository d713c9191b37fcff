package config

import (
	"fmt"
	"strings"
)

// KeyPrefix is the prefix of each plain key that `bamboodeal key grant` generates. It allows a plain key in the wrong
// place of a declaration file to be recognised and left out of messages.
const KeyPrefix = "bdk_"

// hiddenValue replaces a value that is, or may be, a plain key in a fault.
const hiddenValue = "(not shown)"

// maxShownBytes is the length in bytes above which a value is truncated in a fault.
const maxShownBytes = 80

// Fault is one validation error: a reason why declarations are rejected.
type Fault struct {
	// File is the name of the declaration file, or empty when the objects were not read from a file.
	File string `json:"file,omitempty"`
	// Object is the kind and name of the object, such as `team "t"`, or its list and position, such as "teams[2]".
	Object string `json:"object,omitempty"`
	// Field is the JSON name of the field, or its path, such as "cold_start.ramp_ms".
	Field string `json:"field,omitempty"`
	// Value is the value of the field as text. It never contains a plain key.
	Value string `json:"value,omitempty"`
	// Remedy says what to change.
	Remedy string `json:"remedy"`
}

// String formats f on one line.
func (f Fault) String() string {
	var parts []string
	for _, part := range []string{f.File, f.Object, f.Field} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	where := strings.Join(parts, ": ")
	if f.Value != "" {
		where += " = " + f.Value
	}
	if where == "" {
		return f.Remedy
	}
	return where + ": " + f.Remedy
}

// Faults are all faults that one check found. The same input gives the same order.
type Faults []Fault

// Strings formats each fault on one line.
func (fs Faults) Strings() []string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.String())
	}
	return lines
}

// Err returns nil when there is no fault, else an *InvalidError.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return &InvalidError{Faults: fs}
}

// InvalidError reports a set of objects that is not valid.
type InvalidError struct {
	Faults Faults
}

// Error lists the faults, one per line.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("the set has %d faults; correct them and check again:\n%s",
		len(e.Faults), strings.Join(e.Faults.Strings(), "\n"))
}

// quoteValue formats a string value for a fault: it hides plain keys and truncates long values.
func quoteValue(value string) string {
	if mayBePlainKey(value) {
		return hiddenValue
	}
	if len(value) > maxShownBytes {
		value = value[:maxShownBytes] + "..."
	}
	return fmt.Sprintf("%q", value)
}

// mayBePlainKey reports whether the text may contain a plain key: the prefix of generated keys, or at least 32
// consecutive characters of hexadecimal or base64 text that include both digits and letters.
func mayBePlainKey(text string) bool {
	if strings.Contains(text, KeyPrefix) {
		return true
	}
	run := 0
	digits, letters := false, false
	for _, c := range text {
		switch {
		case c >= '0' && c <= '9':
			digits = true
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
			letters = true
		case strings.ContainsRune("_-+/=", c):
		default:
			run, digits, letters = 0, false, false
			continue
		}
		run++
		if run >= 32 && digits && letters {
			return true
		}
	}
	return false
}

// singularNames maps the JSON name of each list in Objects to the word for one of its objects.
var singularNames = map[string]string{
	"data_centres": "data centre",
	"services":     "service",
	"upstreams":    "upstream",
	"routes":       "route",
	"teams":        "team",
	"keys":         "key",
	"objectives":   "objective",
}

// objectLabel identifies an object in a fault by its name, or by its position when the name is missing, too long or may
// be a plain key.
func objectLabel(list string, index int, name string) string {
	if name == "" || len(name) > maxNameBytes || mayBePlainKey(name) {
		return fmt.Sprintf("%s[%d]", list, index)
	}
	return fmt.Sprintf("%s %q", singularNames[list], name)
}
