package config

import (
	"reflect"
	"sort"
)

// Parse reads declaration files, by name, strictly: unknown fields, wrong types, repeated fields and text after
// the value are faults. The objects of all files are merged in the order of the file names. It returns what it
// could read along with the faults.
func Parse(files map[string][]byte) (Objects, Faults) {
	p := parseFiles(files)
	return p.objects, p.faults
}

// ParseAndValidate parses and validates declaration files and names the file in each fault. When a file is no JSON text at
// all, only the faults of reading are returned, since each reference to its objects would seem to dangle.
func ParseAndValidate(files map[string][]byte) (Objects, Faults) {
	p := parseFiles(files)
	if p.unreadable {
		return p.objects, p.faults
	}
	reported := map[[3]string]bool{}
	for _, f := range p.faults {
		reported[[3]string{f.File, f.Object, f.Field}] = true
	}
	faults := p.faults
	for _, f := range validate(p.objects, p.origins) {
		// A field that could not be read is zero, which is a consequence and no second fault.
		if !reported[[3]string{f.File, f.Object, f.Field}] {
			faults = append(faults, f)
		}
	}
	return p.objects, faults
}

// parsing collects the objects and faults of several files.
type parsing struct {
	objects    Objects
	faults     Faults
	origins    map[string][]string
	unreadable bool
}

func parseFiles(files map[string][]byte) *parsing {
	p := &parsing{origins: map[string][]string{}}
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		p.file(name, files[name])
	}
	return p
}

// file adds the objects of one file.
func (p *parsing) file(name string, data []byte) {
	root, err := readTree(data)
	if err != nil {
		p.unreadable = true
		p.faults = append(p.faults, Fault{File: name, Remedy: err.Error()})
		return
	}
	if root.kind != objectTree {
		p.unreadable = true
		remedy := "write one JSON object whose fields are lists, such as {\"teams\": [...]}"
		p.faults = append(p.faults, Fault{File: name, Value: root.kind.String(), Remedy: remedy})
		return
	}
	all := reflect.ValueOf(&p.objects).Elem()
	seen := map[string]bool{}
	for i := range root.members {
		m := &root.members[i]
		d := decoder{file: name, faults: &p.faults}
		index, known := fieldsOf(all.Type())[m.name]
		switch {
		case !known:
			d.fault(m.name, "", "remove the field, or write one of data_centres, services, upstreams, routes, "+
				"teams, keys, objectives")
		case seen[m.name]:
			d.fault(m.name, "", "merge the two lists of this name")
		case m.value.kind != listTree:
			d.fault(m.name, m.value.kind.String(), "write a list of objects")
		default:
			p.list(d, m.name, all.Field(index), m.value.items)
		}
		seen[m.name] = true
	}
}

// list appends the objects of one list.
func (p *parsing) list(d decoder, list string, into reflect.Value, items []tree) {
	for i := range items {
		item := &items[i]
		element := reflect.New(into.Type().Elem()).Elem()
		d.object = label(list, into.Len(), item.name())
		d.secret = list == "keys"
		if item.kind != objectTree {
			d.fault("", item.kind.String(), "write a JSON object")
			continue
		}
		d.object = label(list, into.Len(), item.name())
		d.structure("", element, item)
		into.Set(reflect.Append(into, element))
		p.origins[list] = append(p.origins[list], d.file)
	}
}
