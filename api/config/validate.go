package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Bounds of declared values. Above them a value is more likely in the wrong unit than meant.
const (
	// MaxTimeoutMS is the longest route timeout in milliseconds. It equals the default of a node's
	// max_deadline_ms: a node issues no epoch until the longest possible call has ended.
	MaxTimeoutMS = 5_000
	// MaxDependencyChain is the largest number of services in a chain of depends_on.
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

// methods are the request methods that a route may carry.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Validate checks the whole set as one unit and returns all faults, in the order of the lists.
func Validate(o Objects) Faults { return validate(o, nil) }

// validate names in each fault the file from origins, which holds a file for each object of each list.
func validate(o Objects, origins map[string][]string) Faults {
	v := &validator{o: &o, origins: origins}
	v.index()
	v.dataCentres()
	v.services()
	v.upstreams()
	v.routes()
	v.teams()
	v.keys()
	v.objectives()
	v.chains()
	return v.faults
}

// names holds the declared names of one list with the position of the first object of that name.
type names map[string]int

type validator struct {
	o       *Objects
	origins map[string][]string
	faults  Faults

	declared map[string]names
	// populated holds the services that have an upstream.
	populated map[string]bool
}

// spot is the place of an object in the set.
type spot struct {
	list  string
	index int
	name  string
}

func (v *validator) fault(at spot, field, value, remedy string) {
	f := Fault{Object: label(at.list, at.index, at.name), Field: field, Value: value, Remedy: remedy}
	if files := v.origins[at.list]; at.index < len(files) {
		f.File = files[at.index]
	}
	v.faults = append(v.faults, f)
}

// whole reports a number outside its bounds.
func (v *validator) whole(at spot, field string, n, low, high int64) {
	if n < low || n > high {
		v.fault(at, field, strconv.FormatInt(n, 10), fmt.Sprintf("write a number from %d to %d", low, high))
	}
}

// reference reports a name that the other list does not declare.
func (v *validator) reference(at spot, field, target, list string) {
	if _, ok := v.declared[list][target]; ok {
		return
	}
	word := kinds[list]
	if target == "" {
		v.fault(at, field, show(target), "name a declared "+word)
		return
	}
	v.fault(at, field, show(target), fmt.Sprintf("declare this %s, or name a declared one", word))
}

// enum reports a value that is none of the known ones.
func enum[T ~string](v *validator, at spot, field string, value T, known ...T) {
	if slices.Contains(known, value) {
		return
	}
	words := make([]string, 0, len(known))
	for _, k := range known {
		words = append(words, string(k))
	}
	v.fault(at, field, show(string(value)), "write one of "+strings.Join(words, ", "))
}

// index records the names of all lists before references are resolved.
func (v *validator) index() {
	v.declared = map[string]names{}
	v.populated = map[string]bool{}
	declare := func(list string, n int, name func(int) string) {
		index := make(names, n)
		for i := range n {
			if _, ok := index[name(i)]; !ok {
				index[name(i)] = i
			}
		}
		v.declared[list] = index
	}
	o := v.o
	declare("data_centres", len(o.DataCentres), func(i int) string { return o.DataCentres[i].Name })
	declare("services", len(o.Services), func(i int) string { return o.Services[i].Name })
	declare("upstreams", len(o.Upstreams), func(i int) string { return o.Upstreams[i].Name })
	declare("routes", len(o.Routes), func(i int) string { return o.Routes[i].Name })
	declare("teams", len(o.Teams), func(i int) string { return o.Teams[i].Name })
	declare("keys", len(o.Keys), func(i int) string { return o.Keys[i].ID })
	declare("objectives", len(o.Objectives), func(i int) string { return o.Objectives[i].Name })
	for i := range o.Upstreams {
		v.populated[o.Upstreams[i].Service] = true
	}
}

// named reports a name that is not fit for headers and file names, or that an earlier object has.
func (v *validator) named(at spot, field string) {
	if !validName(at.name) {
		v.fault(at, field, show(at.name), fmt.Sprintf(
			"write 1 to %d letters, digits, '-', '_' or '.', starting with a letter or digit", maxNameBytes))
		return
	}
	if first := v.declared[at.list][at.name]; first != at.index {
		place := ""
		if files := v.origins[at.list]; first < len(files) {
			place = " in " + files[first]
		}
		v.fault(at, field, show(at.name), fmt.Sprintf("choose another name; a %s%s has this one", kinds[at.list], place))
	}
}

// validName is written out because a regular expression took most of the validation time of a large set.
func validName(name string) bool {
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
