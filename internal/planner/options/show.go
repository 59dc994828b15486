package options

import (
	"reflect"
	"strings"
)

// Value is the current value of one setting.
type Value struct {
	Path   string `json:"path"`
	Value  any    `json:"value"`
	Origin string `json:"origin"`
	Range  string `json:"range,omitempty"`
}

// Values returns all settings with their origins, in the order of the struct fields.
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
