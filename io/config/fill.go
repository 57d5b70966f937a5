package config

import (
	"encoding/json"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// fill sets the fields named in the file. It adds an error for each unknown key,
// repeated key and value of the wrong type.
func (p *parser) fill(s any, root hujson.Value) {
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		p.addError(root.StartOffset, "the file is not an object, allowed is { … }")
		return
	}
	fields := fieldsOf(s)
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		field, known := fields[name]
		if !known {
			p.addError(member.Name.StartOffset, "%s is an unknown key, allowed are %s", name, keysOf(s))
			continue
		}
		if _, repeated := p.offsets[name]; repeated {
			p.addError(member.Name.StartOffset, "%s is given twice, allowed is once", name)
		}
		p.offsets[name] = member.Value.StartOffset
		p.set(name, field, member.Value)
	}
}

func (p *parser) set(name string, field reflect.Value, value hujson.Value) {
	value = value.Clone()
	value.Standardize()
	if err := json.Unmarshal(value.Pack(), field.Addr().Interface()); err != nil {
		p.addKeyError(name, "is %s, allowed is %s", strings.TrimSpace(string(value.Pack())), kindOf(field))
	}
}

func kindOf(field reflect.Value) string {
	switch field.Kind() {
	case reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list of strings"
	default:
		return "a string"
	}
}

func fieldsOf(s any) map[string]reflect.Value {
	structure := reflect.ValueOf(s).Elem()
	fields := map[string]reflect.Value{}
	for i := range structure.NumField() {
		fields[structure.Type().Field(i).Tag.Get("json")] = structure.Field(i)
	}
	return fields
}

func keysOf(s any) string {
	structure := reflect.TypeOf(s).Elem()
	keys := make([]string, structure.NumField())
	for i := range keys {
		keys[i] = structure.Field(i).Tag.Get("json")
	}
	return strings.Join(keys, ", ")
}
