package options

import (
	"reflect"
	"strings"
)

// Value is one setting in force.
type Value struct {
	Path   string `json:"path"`
	Value  any    `json:"value"`
	Origin string `json:"origin"`
	Range  string `json:"range,omitempty"`
}

// Values lists all settings in the order of the file, each with where it came from.
func (l Loaded) Values() []Value { return l.values("", reflect.ValueOf(l.Options)) }

func (l Loaded) values(path string, v reflect.Value) (list []Value) {
	for field, value := range v.Fields() {
		inner := strings.TrimPrefix(path+"."+field.Tag.Get("json"), ".")
		if value.Kind() == reflect.Struct {
			list = append(list, l.values(inner, value)...)
			continue
		}
		one := Value{Path: inner, Value: value.Interface(), Origin: "default"}
		if origin, stated := l.Origin[inner]; stated {
			one.Origin = origin
		}
		if least := field.Tag.Get("least"); least != "" {
			one.Range = least + " to " + field.Tag.Get("most")
		}
		list = append(list, one)
	}
	return list
}
