package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Bounds of declared values. A value above its bound is probably in the wrong unit.
const (
	// MaxTimeoutMS is the longest timeout of a route in milliseconds. It equals the default of the setting
	// max_deadline_ms: a node that has started issues no epoch until the longest possible call has ended.
	MaxTimeoutMS = 5_000
	// MaxDependencyChain is the largest number of services in a chain of depends_on references.
	MaxDependencyChain = 23

	maxNameBytes     = 63
	maxPrefixBytes   = 1_024
	maxRampMS        = 3_600_000
	maxSlots         = 10_000
	maxConnections   = 100_000
	maxBodyBytes     = 64 << 20
	minConfigAgeMS   = 1_000
	maxConfigAgeMS   = 86_400_000
	maxRate          = 1_000_000
	maxBurst         = 1_000_000
	maxWeight        = 1_000
	maxLatencyMS     = 60_000
	digestAlgorithm  = "sha256:"
	digestHexLetters = 64
)

// requestMethods are the HTTP methods that a route may allow.
var requestMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Validate checks all objects and their references to each other. It returns all faults, in the order of the lists.
func Validate(o Objects) Faults { return validate(o, nil) }

// validate does the work of Validate and states the file in each fault. The map origins holds, by list name, the file
// of each object; it may be nil.
func validate(o Objects, origins map[string][]string) Faults {
	v := &validator{objects: &o, origins: origins}
	v.indexNames()
	v.checkDataCentres()
	v.checkServices()
	v.checkUpstreams()
	v.checkRoutes()
	v.checkTeams()
	v.checkKeys()
	v.checkObjectives()
	v.checkDependencyChains()
	return v.faults
}

// nameIndex maps each declared name of one list to the index of the first object with that name.
type nameIndex map[string]int

// validator collects the faults of one set of objects.
type validator struct {
	objects *Objects
	origins map[string][]string
	faults  Faults

	// declared holds the names of each list, by the JSON name of the list.
	declared map[string]nameIndex
	// hasUpstream contains the names of the services that have an upstream.
	hasUpstream map[string]bool
}

// objectRef identifies an object by the JSON name of its list, its index in that list and its name.
type objectRef struct {
	list  string
	index int
	name  string
}

// addFault records a fault of one field of an object.
func (v *validator) addFault(at objectRef, field, value, remedy string) {
	f := Fault{Object: objectLabel(at.list, at.index, at.name), Field: field, Value: value, Remedy: remedy}
	if files := v.origins[at.list]; at.index < len(files) {
		f.File = files[at.index]
	}
	v.faults = append(v.faults, f)
}

// checkRange records a fault when n is not between low and high.
func (v *validator) checkRange(at objectRef, field string, n, low, high int64) {
	if n < low || n > high {
		v.addFault(at, field, strconv.FormatInt(n, 10), fmt.Sprintf("write a number from %d to %d", low, high))
	}
}

// checkReference records a fault when the given list declares no object of the name target.
func (v *validator) checkReference(at objectRef, field, target, list string) {
	if _, ok := v.declared[list][target]; ok {
		return
	}
	word := singularNames[list]
	if target == "" {
		v.addFault(at, field, quoteValue(target), "name a declared "+word)
		return
	}
	v.addFault(at, field, quoteValue(target), fmt.Sprintf("declare this %s, or name a declared one", word))
}

// checkEnum records a fault when the value is not one of the known values.
func checkEnum[T ~string](v *validator, at objectRef, field string, value T, known ...T) {
	if slices.Contains(known, value) {
		return
	}
	words := make([]string, 0, len(known))
	for _, k := range known {
		words = append(words, string(k))
	}
	v.addFault(at, field, quoteValue(string(value)), "write one of "+strings.Join(words, ", "))
}

// indexNames collects the names of all lists, which the checks of references need.
func (v *validator) indexNames() {
	v.declared = map[string]nameIndex{}
	v.hasUpstream = map[string]bool{}
	declare := func(list string, n int, name func(int) string) {
		index := make(nameIndex, n)
		for i := range n {
			if _, ok := index[name(i)]; !ok {
				index[name(i)] = i
			}
		}
		v.declared[list] = index
	}
	o := v.objects
	declare("data_centres", len(o.DataCentres), func(i int) string { return o.DataCentres[i].Name })
	declare("services", len(o.Services), func(i int) string { return o.Services[i].Name })
	declare("upstreams", len(o.Upstreams), func(i int) string { return o.Upstreams[i].Name })
	declare("routes", len(o.Routes), func(i int) string { return o.Routes[i].Name })
	declare("teams", len(o.Teams), func(i int) string { return o.Teams[i].Name })
	declare("keys", len(o.Keys), func(i int) string { return o.Keys[i].ID })
	declare("objectives", len(o.Objectives), func(i int) string { return o.Objectives[i].Name })
	for i := range o.Upstreams {
		v.hasUpstream[o.Upstreams[i].Service] = true
	}
}

// checkName records a fault when the object's name is not usable in headers and file names, or is the name of an
// earlier object of the same kind.
func (v *validator) checkName(at objectRef, field string) {
	if !isValidName(at.name) {
		v.addFault(at, field, quoteValue(at.name), fmt.Sprintf(
			"write 1 to %d letters, digits, '-', '_' or '.', starting with a letter or digit", maxNameBytes))
		return
	}
	if first := v.declared[at.list][at.name]; first != at.index {
		place := ""
		if files := v.origins[at.list]; first < len(files) {
			place = " in " + files[first]
		}
		v.addFault(at, field, quoteValue(at.name), fmt.Sprintf("choose another name; a %s%s has this one", singularNames[at.list], place))
	}
}

// isValidName reports whether the name is usable in headers and file names. It does not use a regular expression, which
// took most of the validation time of a large set.
func isValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		c := name[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '-' && c != '_' && c != '.') {
			return false
		}
	}
	return true
}
