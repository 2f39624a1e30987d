package spec

import (
	"fmt"
	"reflect"
	"strings"
)

// subject holds the fields of one named part of a configuration, by their
// dotted JSON names, in readable form.
type subject map[string]value

// value is a field in readable form: a text, or a list of unordered items.
type value struct {
	text  string
	list  bool
	items []string
}

// describe splits a configuration into its named parts.
func describe(f *Fleet) map[string]subject {
	out := map[string]subject{}
	add := func(name string, part any) {
		s := subject{}
		s.flatten("", reflect.ValueOf(part))
		out[name] = s
	}
	out["fleet"] = subject{"name": {text: f.Name}}
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

// identifying are the fields that name a subject or its file.
var identifying = map[string]bool{"name": true, "service": true, "file": true}

// flatten adds the fields of a struct under their JSON names.
func (s subject) flatten(prefix string, v reflect.Value) {
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if prefix == "" && identifying[name] {
			continue
		}
		s.add(prefix+name, v.Field(i))
	}
}

func (s subject) add(name string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		s.flatten(name+".", v)
	case reflect.Slice:
		s.addSlice(name, v)
	default:
		s[name] = value{text: readable(v)}
	}
}

// addSlice adds names as a list, and structs one by one with their position,
// since the order of request rules has meaning.
func (s subject) addSlice(name string, v reflect.Value) {
	if v.Type().Elem().Kind() == reflect.String {
		items := make([]string, v.Len())
		for i := range items {
			items[i] = v.Index(i).String()
		}
		s[name] = value{list: true, items: items}
		return
	}
	for i := range v.Len() {
		s[fmt.Sprintf("%s[%d]", name, i)] = value{text: readable(v.Index(i))}
	}
}

func readable(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case Duration:
		return x.D().String()
	case RequestRule:
		return x.readable()
	default:
		return fmt.Sprint(x)
	}
}

// readable returns a rule such as "GET,HEAD / idempotent".
func (r RequestRule) readable() string {
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
