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

// Error names the place of what is wrong. Lines and columns count from 1, columns in bytes.
type Error struct {
	File         string
	Line, Column int
	Err          error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s:%d:%d: %v", e.File, e.Line, e.Column, e.Err) }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Err }

// reader takes the values of one file into a struct.
type reader struct {
	file   string
	text   []byte
	origin map[string]string
}

func decode(file string, text []byte, to any, origin map[string]string) error {
	r := reader{file: file, text: text, origin: origin}
	root, err := hujson.Parse(text)
	if err != nil {
		return r.syntax(err)
	}
	return r.take("", root, reflect.ValueOf(to).Elem())
}

// syntax turns the parser's error, which names line and column in its text, into one of ours. A file that was cut short
// is told as such.
func (r reader) syntax(err error) error {
	var line, column int
	text := err.Error()
	if n, _ := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); n == 2 {
		_, rest, _ := strings.Cut(text[len("hujson: "):], ": ")
		return &Error{r.file, line, column, errors.New(rest)}
	}
	return r.fault(len(r.text), errors.New(strings.TrimPrefix(text, "hujson: ")))
}

// fault is an error at a place of the text.
func (r reader) fault(offset int, err error) error {
	line, column := r.position(offset)
	return &Error{r.file, line, column, err}
}

// position is the line and the column of an offset, from 1.
func (r reader) position(offset int) (line, column int) {
	before := r.text[:min(max(0, offset), len(r.text))]
	return bytes.Count(before, []byte("\n")) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}

// at is where a value stands, for people.
func (r reader) at(offset int) string {
	line, column := r.position(offset)
	return fmt.Sprintf("%s:%d:%d", r.file, line, column)
}

// take reads one value, and notes where it came from.
func (r reader) take(path string, v hujson.Value, to reflect.Value) error {
	var err error
	switch to.Kind() {
	case reflect.Struct:
		return r.object(path, v, to)
	case reflect.Bool:
		err = r.boolean(path, v, to)
	case reflect.String:
		err = r.str(path, v, to)
	case reflect.Int:
		err = r.integer(path, v, to)
	case reflect.Float64:
		err = r.float(path, v, to)
	case reflect.Slice:
		err = r.list(path, v, to)
	default:
		err = r.fault(v.StartOffset, fmt.Errorf("%s: no way to read a %s", path, to.Kind()))
	}
	if err == nil {
		r.origin[path] = r.at(v.StartOffset)
	}
	return err
}

// The first bytes that the parser's literals are told apart by.
const (
	trueLiteral   = 't'
	falseLiteral  = 'f'
	stringLiteral = '"'
	numberLiteral = '0'
)

func (r reader) boolean(path string, v hujson.Value, to reflect.Value) error {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != trueLiteral && literal.Kind() != falseLiteral {
		return r.wrong(path, v, "true or false")
	}
	to.SetBool(literal.Bool())
	return nil
}

func (r reader) str(path string, v hujson.Value, to reflect.Value) error {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != stringLiteral {
		return r.wrong(path, v, "a string")
	}
	to.SetString(literal.String())
	return nil
}

func (r reader) integer(path string, v hujson.Value, to reflect.Value) error {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != numberLiteral {
		return r.wrong(path, v, "a number")
	}
	var n int64
	if json.Unmarshal(literal, &n) != nil {
		return r.wrong(path, v, "a whole number")
	}
	to.SetInt(n)
	return nil
}

func (r reader) float(path string, v hujson.Value, to reflect.Value) error {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != numberLiteral {
		return r.wrong(path, v, "a number")
	}
	to.SetFloat(literal.Float())
	return nil
}

func (r reader) list(path string, v hujson.Value, to reflect.Value) error {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		return r.wrong(path, v, "a list")
	}
	to.Set(reflect.MakeSlice(to.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		if err := r.take(fmt.Sprintf("%s[%d]", path, i), element, to.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

func (r reader) wrong(path string, v hujson.Value, wanted string) error {
	got := strings.TrimSpace(string(v.Pack()))
	if len(got) > 40 {
		got = got[:40] + "…"
	}
	if path == "" {
		path = "the file"
	}
	return r.fault(v.StartOffset, fmt.Errorf("%s must be %s, not %s", path, wanted, got))
}

// object reads the members of an object. Unknown and double keys are errors, and so are values out of range.
func (r reader) object(path string, v hujson.Value, to reflect.Value) error {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return r.wrong(path, v, "an object")
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		key := member.Name.Value.(hujson.Literal).String()
		inner := strings.TrimPrefix(path+"."+key, ".")
		if seen[key] {
			return r.fault(member.Name.StartOffset, fmt.Errorf("%s is there twice", inner))
		}
		seen[key] = true
		field, known := fieldOf(to.Type(), key)
		if !known {
			return r.fault(member.Name.StartOffset, fmt.Errorf("unknown key %q; known here: %s", inner,
				strings.Join(keys(to.Type()), ", ")))
		}
		value := to.FieldByIndex(field.Index)
		if err := r.take(inner, member.Value, value); err != nil {
			return err
		}
		if err := within(field, value); err != nil {
			return r.fault(member.Value.StartOffset, fmt.Errorf("%s %w", inner, err))
		}
	}
	return nil
}

func fieldOf(t reflect.Type, key string) (reflect.StructField, bool) {
	for field := range t.Fields() {
		if field.Tag.Get("json") == key {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

func keys(t reflect.Type) (list []string) {
	for field := range t.Fields() {
		list = append(list, field.Tag.Get("json"))
	}
	return list
}

// within checks a value against the tags of its field: least and most for numbers, one for strings.
func within(field reflect.StructField, v reflect.Value) error {
	if choices := field.Tag.Get("one"); choices != "" && !slices.Contains(strings.Split(choices, ","), v.String()) {
		return fmt.Errorf("is %q; it may be %s", v.String(), strings.ReplaceAll(choices, ",", ", "))
	}
	least, most := field.Tag.Get("least"), field.Tag.Get("most")
	if least == "" {
		return nil
	}
	figure := v.Convert(reflect.TypeFor[float64]()).Float()
	low, _ := strconv.ParseFloat(least, 64)
	high, _ := strconv.ParseFloat(most, 64)
	if math.IsNaN(figure) || figure < low || figure > high {
		return fmt.Errorf("is %v; it may be %s to %s", v.Interface(), least, most)
	}
	return nil
}
