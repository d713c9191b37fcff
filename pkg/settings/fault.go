package settings

import (
	"fmt"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	File   string
	Field  string
	Value  string
	Remedy string
}

// Error returns the file, the field, the value and the remedy in one line. Field and value are left out when the fault
// concerns the whole file.
func (f Fault) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", f.File, f.Remedy)
	}
	return fmt.Sprintf("%s: field %q: value %s: %s", f.File, f.Field, f.Value, f.Remedy)
}

// Faults are all errors in one settings file.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}
