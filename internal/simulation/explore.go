package simulation

import (
	"hash/maphash"
	"reflect"
	"slices"
)

// ExploreResult is what an exploration saw.
type ExploreResult struct {
	States    int
	Truncated bool     // there were states beyond the bound
	Violation string   // the first rule that was broken
	Trace     []string // the events that lead to it
}

// Explore goes through every order of events of the small core, as far as the bounds allow: states that were met before
// are not gone through again.
func Explore(b Bounds) ExploreResult {
	seed := maphash.MakeSeed()
	met := map[uint64]bool{}
	var out ExploreResult
	var walk func(way []string)
	walk = func(way []string) {
		if out.Violation != "" || out.States >= b.States {
			out.Truncated = out.Truncated || out.Violation == ""
			return
		}
		s := newBoundedModel(b)
		for _, c := range way {
			s.do(c)
		}
		if s.Broken != "" {
			out.Violation, out.Trace = s.Broken, slices.Clone(way)
			return
		}
		f := fingerprint(seed, reflect.ValueOf(s))
		if met[f] {
			return
		}
		met[f] = true
		out.States++
		for _, c := range s.choices() {
			walk(append(slices.Clip(way), c))
		}
	}
	walk(nil)
	return out
}

// fingerprint hashes a value with all that it holds, whatever is exported, and maps whatever their order.
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
