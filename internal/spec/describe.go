package spec

import (
	"fmt"
	"reflect"
	"strings"
)

// subjectFields holds the fields of one subject of a Change by their dotted
// JSON names.
type subjectFields map[string]fieldValue

// fieldValue is the formatted value of a field: a text, or a list whose order
// has no meaning.
type fieldValue struct {
	text   string
	isList bool
	items  []string
}

// fieldsBySubject returns the fields of each subject of a configuration: the
// fleet, its maintenance, and every region, team, pool and service.
func fieldsBySubject(f *Fleet) map[string]subjectFields {
	out := map[string]subjectFields{}
	add := func(name string, object any) {
		s := subjectFields{}
		s.addStruct("", reflect.ValueOf(object))
		out[name] = s
	}
	out["fleet"] = subjectFields{"name": {text: f.Name}}
	add("maintenance", f.Maintenance)
	for _, r := range f.Regions {
		add("region "+string(r.Name), r)
	}
	for _, t := range f.Teams {
		add("team "+string(t.Name), t)
	}
	for _, p := range f.Pools {
		add("pool "+string(p.Name), p)
	}
	for _, s := range f.Services {
		add("service "+string(s.Queue), s)
	}
	return out
}

// identifyingFields are the fields that hold the name of a subject or its
// file; they are not compared.
var identifyingFields = map[string]bool{"name": true, "service": true, "file": true}

// addStruct adds the fields of a struct under their JSON names, after prefix.
func (s subjectFields) addStruct(prefix string, v reflect.Value) {
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if prefix == "" && identifyingFields[name] {
			continue
		}
		s.addField(prefix+name, v.Field(i))
	}
}

func (s subjectFields) addField(name string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		s.addStruct(name+".", v)
	case reflect.Slice:
		s.addSlice(name, v)
	default:
		s[name] = fieldValue{text: formatValue(v)}
	}
}

// addSlice adds strings as a list, and structs one by one with their index,
// since the order of request rules has meaning.
func (s subjectFields) addSlice(name string, v reflect.Value) {
	if v.Type().Elem().Kind() == reflect.String {
		items := make([]string, v.Len())
		for i := range items {
			items[i] = v.Index(i).String()
		}
		s[name] = fieldValue{isList: true, items: items}
		return
	}
	for i := range v.Len() {
		s[fmt.Sprintf("%s[%d]", name, i)] = fieldValue{text: formatValue(v.Index(i))}
	}
}

func formatValue(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case Duration:
		return x.D().String()
	case RequestRule:
		return x.format()
	default:
		return fmt.Sprint(x)
	}
}

// format returns a rule such as "GET,HEAD / idempotent".
func (r RequestRule) format() string {
	words := []string{"ANY", r.PathPrefix}
	if len(r.Methods) > 0 {
		words[0] = strings.Join(r.Methods, ",")
	}
	if r.Idempotent {
		words = append(words, "idempotent")
	}
	if r.Urgent {
		words = append(words, "urgent")
	}
	return strings.Join(words, " ")
}
