package options

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Error is an error at a place of a settings file. Line and Column count from 1, columns in bytes.
type Error struct {
	File         string
	Line, Column int
	Err          error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s:%d:%d: %v", e.File, e.Line, e.Column, e.Err) }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Err }

// decoder decodes the values of one file into a struct.
type decoder struct {
	file   string
	text   []byte
	origin map[string]string
}

func decode(file string, text []byte, target any, origin map[string]string) error {
	r := decoder{file: file, text: text, origin: origin}
	root, err := hujson.Parse(text)
	if err != nil {
		return r.syntaxError(err)
	}
	return r.decodeValue("", root, reflect.ValueOf(target).Elem())
}

// syntaxError converts the parser's error, whose text contains the line and column, to an Error. An error without a place is
// placed at the end of the file.
func (d decoder) syntaxError(err error) error {
	var line, column int
	text := err.Error()
	if n, _ := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); n == 2 {
		_, rest, _ := strings.Cut(text[len("hujson: "):], ": ")
		return &Error{d.file, line, column, errors.New(rest)}
	}
	return d.errorAt(len(d.text), errors.New(strings.TrimPrefix(text, "hujson: ")))
}

// errorAt returns an Error at an offset of the text.
func (d decoder) errorAt(offset int, err error) error {
	line, column := d.position(offset)
	return &Error{d.file, line, column, err}
}

// position returns the line and the column of an offset, from 1.
func (d decoder) position(offset int) (line, column int) {
	before := d.text[:min(max(0, offset), len(d.text))]
	return bytes.Count(before, []byte("\n")) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}

// location returns the place of a value as "file:line:column".
func (d decoder) location(offset int) string {
	line, column := d.position(offset)
	return fmt.Sprintf("%s:%d:%d", d.file, line, column)
}

// decodeValue decodes one value and records where it came from.
func (d decoder) decodeValue(path string, v hujson.Value, target reflect.Value) error {
	var err error
	switch target.Kind() {
	case reflect.Struct:
		return d.decodeObject(path, v, target)
	case reflect.Bool:
		err = d.decodeBool(path, v, target)
	case reflect.String:
		err = d.decodeString(path, v, target)
	case reflect.Int:
		err = d.decodeInt(path, v, target)
	case reflect.Float64:
		err = d.decodeFloat(path, v, target)
	case reflect.Slice:
		err = d.decodeSlice(path, v, target)
	default:
		err = d.errorAt(v.StartOffset, fmt.Errorf("%s: no way to read a %s", path, target.Kind()))
	}
	if err == nil {
		d.origin[path] = d.location(v.StartOffset)
	}
	return err
}

// The kinds of the parser's literals, which are their first bytes.
const (
	trueLiteral   = 't'
	falseLiteral  = 'f'
	stringLiteral = '"'
	numberLiteral = '0'
)

func (d decoder) decodeBool(path string, v hujson.Value, to reflect.Value) error {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != trueLiteral && literal.Kind() != falseLiteral {
		return d.typeError(path, v, "true or false")
	}
	to.SetBool(literal.Bool())
	return nil
}

func (d decoder) decodeString(path string, v hujson.Value, to reflect.Value) error {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != stringLiteral {
		return d.typeError(path, v, "a string")
	}
	to.SetString(literal.String())
	return nil
}

func (d decoder) decodeInt(path string, v hujson.Value, to reflect.Value) error {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != numberLiteral {
		return d.typeError(path, v, "a number")
	}
	var n int64
	if json.Unmarshal(literal, &n) != nil {
		return d.typeError(path, v, "a whole number")
	}
	to.SetInt(n)
	return nil
}

func (d decoder) decodeFloat(path string, v hujson.Value, to reflect.Value) error {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != numberLiteral {
		return d.typeError(path, v, "a number")
	}
	to.SetFloat(literal.Float())
	return nil
}

func (d decoder) decodeSlice(path string, v hujson.Value, to reflect.Value) error {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		return d.typeError(path, v, "a list")
	}
	to.Set(reflect.MakeSlice(to.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		if err := d.decodeValue(fmt.Sprintf("%s[%d]", path, i), element, to.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

func (d decoder) typeError(path string, v hujson.Value, wanted string) error {
	got := strings.TrimSpace(string(v.Pack()))
	if len(got) > 40 {
		got = got[:40] + "…"
	}
	if path == "" {
		path = "the file"
	}
	return d.errorAt(v.StartOffset, fmt.Errorf("%s must be %s, not %s", path, wanted, got))
}

// decodeObject decodes the members of an object. Unknown or duplicate keys and values out of range are errors.
func (d decoder) decodeObject(path string, v hujson.Value, to reflect.Value) error {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.typeError(path, v, "an object")
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		key := member.Name.Value.(hujson.Literal).String()
		inner := strings.TrimPrefix(path+"."+key, ".")
		if seen[key] {
			return d.errorAt(member.Name.StartOffset, fmt.Errorf("%s is there twice", inner))
		}
		seen[key] = true
		field, known := fieldByKey(to.Type(), key)
		if !known {
			return d.errorAt(member.Name.StartOffset, fmt.Errorf("unknown key %q; known here: %s", inner,
				strings.Join(fieldKeys(to.Type()), ", ")))
		}
		value := to.FieldByIndex(field.Index)
		if err := d.decodeValue(inner, member.Value, value); err != nil {
			return err
		}
		if err := checkRange(field, value); err != nil {
			return d.errorAt(member.Value.StartOffset, fmt.Errorf("%s %w", inner, err))
		}
	}
	return nil
}

func fieldByKey(t reflect.Type, key string) (reflect.StructField, bool) {
	for field := range t.Fields() {
		if field.Tag.Get("json") == key {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

func fieldKeys(t reflect.Type) (list []string) {
	for field := range t.Fields() {
		list = append(list, field.Tag.Get("json"))
	}
	return list
}

// checkRange checks a value against the tags of its field: least and most for numbers, one for the choices of a string.
func checkRange(field reflect.StructField, v reflect.Value) error {
	if choices := field.Tag.Get("one"); choices != "" && !slices.Contains(strings.Split(choices, ","), v.String()) {
		return fmt.Errorf("is %q; it may be %s", v.String(), strings.ReplaceAll(choices, ",", ", "))
	}
	least, most := field.Tag.Get("least"), field.Tag.Get("most")
	if least == "" {
		return nil
	}
	number := v.Convert(reflect.TypeFor[float64]()).Float()
	low, _ := strconv.ParseFloat(least, 64)
	high, _ := strconv.ParseFloat(most, 64)
	if math.IsNaN(number) || number < low || number > high {
		return fmt.Errorf("is %v; it may be %s to %s", v.Interface(), least, most)
	}
	return nil
}
