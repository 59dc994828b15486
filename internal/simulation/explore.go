package simulation

import (
	"hash/maphash"
	"reflect"
	"slices"
)

// ExploreResult is the result of an exploration.
type ExploreResult struct {
	States    int
	Truncated bool     // whether states beyond the limit were left out
	Violation string   // the first rule that was violated; empty: none
	Trace     []string // the events that lead to the violation
}

// Explore visits every order of events of the bounded model within the bounds. It doesn't continue from a state that was
// visited before.
func Explore(b Bounds) ExploreResult {
	seed := maphash.MakeSeed()
	visited := map[uint64]bool{}
	var result ExploreResult
	var walk func(trace []string)
	walk = func(trace []string) {
		if result.Violation != "" || result.States >= b.States {
			result.Truncated = result.Truncated || result.Violation == ""
			return
		}
		s := newBoundedModel(b)
		for _, c := range trace {
			s.perform(c)
		}
		if s.Violation != "" {
			result.Violation, result.Trace = s.Violation, slices.Clone(trace)
			return
		}
		f := fingerprint(seed, reflect.ValueOf(s))
		if visited[f] {
			return
		}
		visited[f] = true
		result.States++
		for _, c := range s.choices() {
			walk(append(slices.Clip(trace), c))
		}
	}
	walk(nil)
	return result
}

// fingerprint hashes a value with all its fields, exported or not. Maps are hashed independently of their order.
func fingerprint(seed maphash.Seed, v reflect.Value) uint64 {
	mix := func(parts ...uint64) uint64 {
		h := uint64(1469598103934665603)
		for _, p := range parts {
			h = (h ^ maphash.Comparable(seed, [2]uint64{h, p})) * 1099511628211
		}
		return h
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return 1
		}
		return mix(2, fingerprint(seed, v.Elem()))
	case reflect.Struct:
		h := uint64(3)
		for i := range v.NumField() {
			h = mix(h, fingerprint(seed, v.Field(i)))
		}
		return h
	case reflect.Slice, reflect.Array:
		h := uint64(4)
		for i := range v.Len() {
			h = mix(h, fingerprint(seed, v.Index(i)))
		}
		return h
	case reflect.Map:
		h := uint64(5)
		for it := v.MapRange(); it.Next(); {
			h += mix(fingerprint(seed, it.Key()), fingerprint(seed, it.Value()))
		}
		return h
	case reflect.String:
		return maphash.String(seed, v.String())
	case reflect.Bool:
		return uint64(6 + oneIf[v.Bool()])
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return mix(8, uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return mix(9, v.Uint())
	default:
		return 10
	}
}
