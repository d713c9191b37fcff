package config

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync"
)

// decoder fills the objects of one file from JSON values and records a fault for each field of a wrong type.
type decoder struct {
	file   string
	object string
	// hideValues leaves all strings and numbers out of the faults, since any of them could be a plain key.
	hideValues bool
	faults     *Faults
}

func (d *decoder) addFault(field, value, remedy string) {
	if mayBePlainKey(field) {
		field = hiddenValue
	}
	*d.faults = append(*d.faults, Fault{File: d.file, Object: d.object, Field: field, Value: value, Remedy: remedy})
}

// fieldIndexCache caches, by struct type, the index of the struct field for each JSON name.
var fieldIndexCache sync.Map

func fieldIndexesOf(t reflect.Type) map[string]int {
	if cached, ok := fieldIndexCache.Load(t); ok {
		return cached.(map[string]int)
	}
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	fieldIndexCache.Store(t, fields)
	return fields
}

// decodeStruct fills a struct; prefix is the path of a nested object, such as "cold_start.", or empty.
func (d *decoder) decodeStruct(prefix string, into reflect.Value, v *jsonValue) {
	fields := fieldIndexesOf(into.Type())
	var seen uint64
	for i := range v.fields {
		f := &v.fields[i]
		name := prefix + f.name
		index, known := fields[f.name]
		if !known {
			d.addFault(name, "", "remove the field; objects of this kind have no field of that name")
			continue
		}
		if seen&(1<<index) != 0 {
			d.addFault(name, "", "remove the second field of this name")
			continue
		}
		seen |= 1 << index
		d.decodeValue(name, into.Field(index), &f.value)
	}
}

func (d *decoder) decodeValue(field string, into reflect.Value, v *jsonValue) {
	switch into.Kind() {
	case reflect.Struct:
		if v.kind == kindObject {
			d.decodeStruct(field+".", into, v)
			return
		}
	case reflect.String:
		if v.kind == kindString {
			into.SetString(v.text)
			return
		}
	case reflect.Bool:
		if v.kind == kindBoolean {
			into.SetBool(v.boolean)
			return
		}
	case reflect.Int, reflect.Int64:
		if n, err := strconv.ParseInt(v.text, 10, 64); v.kind == kindNumber && err == nil {
			into.SetInt(n)
			return
		}
	case reflect.Float64:
		if x, err := strconv.ParseFloat(v.text, 64); v.kind == kindNumber && err == nil {
			into.SetFloat(x)
			return
		}
	case reflect.Slice:
		if v.kind == kindList {
			d.decodeStrings(field, into, v.items)
			return
		}
	}
	d.addFault(field, d.describe(v), typeRemedy(field, into.Kind()))
}

// decodeStrings fills a slice of strings.
func (d *decoder) decodeStrings(field string, into reflect.Value, items []jsonValue) {
	list := reflect.MakeSlice(into.Type(), len(items), len(items))
	for i := range items {
		d.decodeValue(fmt.Sprintf("%s[%d]", field, i), list.Index(i), &items[i])
	}
	into.Set(list)
}

// describe formats a value of a wrong type for a fault: its type, or a text or number that may be shown.
func (d *decoder) describe(v *jsonValue) string {
	switch {
	case v.kind != kindString && v.kind != kindNumber:
		return v.kind.String()
	case d.hideValues:
		return v.kind.String() + " " + hiddenValue
	case v.kind == kindNumber && len(v.text) < maxShownBytes:
		return v.text
	}
	return quoteValue(v.text)
}

// typeRemedy states what a field of the given Go type must hold.
func typeRemedy(field string, kind reflect.Kind) string {
	switch kind {
	case reflect.Struct:
		return "write an object"
	case reflect.Bool:
		return "write true or false"
	case reflect.Float64:
		return "write a number"
	case reflect.Slice:
		return "write a list of strings"
	case reflect.Int, reflect.Int64:
		if strings.HasSuffix(field, "_ms") {
			return "write a whole number of milliseconds, without a unit"
		}
		return "write a whole number"
	}
	return "write a string"
}
