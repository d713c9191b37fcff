package config

import (
	"reflect"
	"sort"
)

// Parse reads declaration files; files maps the name of each file to its content. Unknown fields, wrong types, repeated
// fields and text after the JSON value are faults. The objects of all files are merged in the order of the file names.
// Parse also returns the objects that it could read when there are faults.
func Parse(files map[string][]byte) (Objects, Faults) {
	p := parseFiles(files)
	return p.objects, p.faults
}

// ParseAndValidate parses and validates declaration files, and states the file in each fault. When a file is not a JSON
// object, only the faults of parsing are returned, since references to the objects of that file would be reported too.
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
		// A field that could not be parsed is zero; validation must not report it again.
		if !reported[[3]string{f.File, f.Object, f.Field}] {
			faults = append(faults, f)
		}
	}
	return p.objects, faults
}

// parseResult collects the objects and faults of several files. The map origins holds, by list name, the file of each
// object; unreadable is true when a file is not a JSON object.
type parseResult struct {
	objects    Objects
	faults     Faults
	origins    map[string][]string
	unreadable bool
}

func parseFiles(files map[string][]byte) *parseResult {
	p := &parseResult{origins: map[string][]string{}}
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		p.addFile(name, files[name])
	}
	return p
}

// addFile adds the objects and faults of one file.
func (p *parseResult) addFile(name string, data []byte) {
	root, err := parseJSON(data)
	if err != nil {
		p.unreadable = true
		p.faults = append(p.faults, Fault{File: name, Remedy: err.Error()})
		return
	}
	if root.kind != kindObject {
		p.unreadable = true
		remedy := "write one JSON object whose fields are lists, such as {\"teams\": [...]}"
		p.faults = append(p.faults, Fault{File: name, Value: root.kind.String(), Remedy: remedy})
		return
	}
	all := reflect.ValueOf(&p.objects).Elem()
	seen := map[string]bool{}
	for i := range root.fields {
		f := &root.fields[i]
		d := decoder{file: name, faults: &p.faults}
		index, known := fieldIndexesOf(all.Type())[f.name]
		switch {
		case !known:
			d.addFault(f.name, "", "remove the field, or write one of data_centres, services, upstreams, routes, "+
				"teams, keys, objectives")
		case seen[f.name]:
			d.addFault(f.name, "", "merge the two lists of this name")
		case f.value.kind != kindList:
			d.addFault(f.name, f.value.kind.String(), "write a list of objects")
		default:
			p.addList(d, f.name, all.Field(index), f.value.items)
		}
		seen[f.name] = true
	}
}

// addList decodes the objects of one list and appends them to the slice into.
func (p *parseResult) addList(d decoder, list string, into reflect.Value, items []jsonValue) {
	for i := range items {
		item := &items[i]
		element := reflect.New(into.Type().Elem()).Elem()
		d.object = objectLabel(list, into.Len(), item.objectName())
		d.hideValues = list == "keys"
		if item.kind != kindObject {
			d.addFault("", item.kind.String(), "write a JSON object")
			continue
		}
		d.object = objectLabel(list, into.Len(), item.objectName())
		d.decodeStruct("", element, item)
		into.Set(reflect.Append(into, element))
		p.origins[list] = append(p.origins[list], d.file)
	}
}
