package simulation

import (
	"fmt"
	"hash/maphash"
	"reflect"
	"slices"

	"mulleinwood/internal/control/idempotency"
)

// Explored is what an exploration saw.
type Explored struct {
	States int
	Deeper bool     // there were states beyond the bound
	Broken string   // the first rule that was broken
	Way    []string // the events that lead to it
}

// Bounds of an exploration: how often each kind of loss may strike.
type Bounds struct {
	States, Wipes, Powers, Withdrawals int
	Fault                              string
}

// small is a core of three claim stores and two edges that claim one key, each at another coordinator. All messages between two
// processes keep their order; else anything may come next.
type small struct {
	Nodes    [3]smallNode
	Messages [][]note // by channel
	Edges    [2]smallEdge
	Runs     int
	Wipes    int
	Powers   int
	Withdraw int
	fault    string
}

type smallNode struct {
	Ledger  *idempotency.Store
	Office  *idempotency.Coordinator
	Records []idempotency.Record // on disk
	Blank   bool                 // on disk
	Writes  []smallWrite
	Copied  [3]int // 0 not yet, 1 it knew nothing, 2 it did
	Asked   bool
}

type smallWrite struct {
	Records  []idempotency.Record
	Restored bool
	Claim    bool // from tells whom
	From     int
	Record   idempotency.Record
}

type smallEdge struct {
	Began, Over bool
}

// note is a message: of an edge (3 and 4) to a coordinator, between nodes, and back.
type note struct {
	Kind    string
	From    int
	Record  idempotency.Record
	Verdict idempotency.Verdict
	Holder  idempotency.Record
	Ruling  idempotency.Ruling
	Records []idempotency.Record
	Blank   bool
}

const (
	places   = 5 // three nodes, two edges
	smallKey = "k"
)

func newSmall(fault string) *small {
	s := &small{Messages: make([][]note, places*places), fault: fault}
	for i := range s.Nodes {
		s.boot(i)
	}
	return s
}

func (s *small) boot(i int) {
	n := &s.Nodes[i]
	n.Ledger = idempotency.NewStore(window, n.Blank)
	for _, r := range n.Records {
		n.Ledger.Load(r, 0)
	}
	names := []string{"0", "1", "2"}
	n.Office = idempotency.NewCoordinator(append(slices.Clone(names[i:]), names[:i]...), hedge, limit)
	n.Writes, n.Copied, n.Asked = nil, [3]int{}, false
	for j := range places {
		s.Messages[i*places+j], s.Messages[j*places+i] = nil, nil
	}
	for j := range s.Nodes {
		if o := &s.Nodes[j]; j != i && o.Office != nil {
			for _, out := range o.Office.Forget(fmt.Sprint(i)) {
				s.ruled(j, out)
			}
		}
	}
}

func (s *small) post(from, to int, n note) {
	n.From = from
	s.Messages[from*places+to] = append(s.Messages[from*places+to], n)
}

// choices are the events that may come next.
func (s *small) choices(b Bounds) (all []string) {
	for i, e := range s.Edges {
		if !e.Began {
			all = append(all, fmt.Sprint("claim ", i))
		} else if !e.Over && s.Withdraw < b.Withdrawals {
			all = append(all, fmt.Sprint("withdraw ", i))
		}
	}
	for c, m := range s.Messages {
		if len(m) > 0 {
			all = append(all, fmt.Sprint("deliver ", c/places, " ", c%places))
		}
	}
	for i, n := range s.Nodes {
		if len(n.Writes) > 0 {
			all = append(all, fmt.Sprint("write ", i))
		}
		if n.Ledger.Blank() && !n.Asked {
			all = append(all, fmt.Sprint("copy ", i))
		}
	}
	if s.Edges[0].Began || s.Edges[1].Began {
		for i := range s.Nodes {
			if s.Wipes < b.Wipes && !s.Nodes[i].Ledger.Blank() && s.whole() {
				all = append(all, fmt.Sprint("wipe ", i))
			}
		}
		if s.Powers < b.Powers {
			all = append(all, "power")
		}
	}
	return all
}

// whole tells that no other disk is being made good: one may be lost at once.
func (s *small) whole() bool {
	return !slices.ContainsFunc(s.Nodes[:], func(n smallNode) bool { return n.Ledger.Blank() })
}

func (s *small) do(choice string) {
	var what string
	var x, y int
	_, _ = fmt.Sscan(choice, &what, &x, &y) // some have fewer
	switch what {
	case "claim":
		s.Edges[x].Began = true
		s.post(3+x, x, note{Kind: "claim", Record: s.record(x)})
	case "withdraw":
		s.Withdraw++
		s.void(x)
	case "deliver":
		c := x*places + y
		m := s.Messages[c][0]
		s.Messages[c] = s.Messages[c][1:]
		s.take(y, m)
	case "write":
		s.written(x)
	case "copy":
		s.Nodes[x].Asked = true
		for j := range s.Nodes {
			if j != x {
				s.post(x, j, note{Kind: "copy"})
			}
		}
	case "wipe":
		s.Wipes++
		s.Nodes[x].Records, s.Nodes[x].Blank = nil, s.fault != "grants with an empty disk"
		s.boot(x)
	case "power":
		s.Powers++
		for i := range s.Nodes {
			s.boot(i)
		}
	}
}

func (s *small) record(edge int) idempotency.Record {
	return idempotency.Record{Key: idempotency.KeyOf("t", smallKey), Token: idempotency.Token{Life: uint64(edge + 1), N: 1}}
}

// void withdraws an edge's claim everywhere.
func (s *small) void(edge int) {
	s.Edges[edge].Over = true
	for j := range s.Nodes {
		s.post(3+edge, j, note{Kind: "void", Record: s.record(edge)})
	}
}

func (s *small) take(to int, m note) {
	if to >= 3 {
		e := &s.Edges[to-3]
		if e.Over {
			return
		}
		if m.Ruling == idempotency.Stands {
			e.Over = true
			s.Runs++
			if s.fault == "withdraws what ran" {
				s.void(to - 3)
			}
			return
		}
		s.void(to - 3)
		return
	}
	n := &s.Nodes[to]
	switch m.Kind {
	case "claim":
		s.ask(to, n.Office.Open(m.Record, 0))
	case "ask":
		s.judge(to, m.From, m.Record)
	case "verdict":
		s.verdict(to, m.From, m.Record, m.Verdict, m.Holder)
	case "void":
		if line, store := n.Ledger.Void(m.Record.Key, m.Record.Token, 0); store {
			n.Writes = append(n.Writes, smallWrite{Records: []idempotency.Record{line}})
		}
	case "copy":
		var all []idempotency.Record
		n.Ledger.Each(func(r idempotency.Record) { all = append(all, r) })
		s.post(to, m.From, note{Kind: "copied", Records: all, Blank: n.Ledger.Blank()})
	case "copied":
		if !n.Ledger.Blank() {
			return
		}
		w := smallWrite{}
		for _, r := range m.Records {
			w.Records = append(w.Records, n.Ledger.Copy(r, 0))
		}
		n.Copied[m.From] = 2 - btoi(m.Blank)
		sound, heard := 0, 0
		for _, c := range n.Copied {
			sound, heard = sound+btoi(c == 2), heard+btoi(c > 0)
		}
		needed := len(s.Nodes) - 1
		if s.fault == "restored from one" {
			needed = 1
		}
		w.Restored = sound >= needed || sound == 0 && heard == len(s.Nodes)-1
		n.Writes = append(n.Writes, w)
	}
}

func (s *small) ask(from int, asks []idempotency.Ask) {
	for _, a := range asks {
		var to int
		_, _ = fmt.Sscan(a.To, &to) // names are numbers
		if to == from {
			s.judge(from, from, a.Record)
		} else {
			s.post(from, to, note{Kind: "ask", Record: a.Record})
		}
	}
}

func (s *small) judge(at, asker int, r idempotency.Record) {
	n := &s.Nodes[at]
	v, holder, store := n.Ledger.Claim(r, 0)
	if !store || s.fault == "grants before storing" {
		s.tellVerdict(at, asker, r, v, holder)
	}
	if store {
		n.Writes = append(n.Writes, smallWrite{Records: []idempotency.Record{r}, Claim: true, From: asker, Record: r})
	}
}

func (s *small) tellVerdict(at, asker int, r idempotency.Record, v idempotency.Verdict, holder idempotency.Record) {
	if asker == at {
		s.verdict(at, at, r, v, holder)
	} else {
		s.post(at, asker, note{Kind: "verdict", Record: r, Verdict: v, Holder: holder})
	}
}

func (s *small) verdict(at, from int, r idempotency.Record, v idempotency.Verdict, holder idempotency.Record) {
	asks, done := s.Nodes[at].Office.Verdict(fmt.Sprint(from), r.Token, v, holder, 0)
	s.ask(at, asks)
	if done != nil {
		s.ruled(at, *done)
	}
}

func (s *small) ruled(at int, o idempotency.Outcome) {
	s.post(at, 2+int(o.Token.Life), note{Kind: "ruling", Ruling: o.Ruling})
}

func (s *small) written(at int) {
	n := &s.Nodes[at]
	w := n.Writes[0]
	n.Writes = n.Writes[1:]
	n.Records = append(slices.Clip(n.Records), w.Records...)
	if w.Restored {
		n.Blank = false
		n.Ledger.Restored()
	}
	if w.Claim && s.fault != "grants before storing" {
		v := idempotency.Granted
		if !n.Ledger.Stored(w.Record.Key, w.Record.Token) {
			v = idempotency.Unable
		}
		s.tellVerdict(at, w.From, w.Record, v, idempotency.Record{})
	}
}

// Explore goes through every order of events of the small core, as far as the bounds allow: states that were met before
// are not gone through again.
func Explore(b Bounds) Explored {
	seed := maphash.MakeSeed()
	met := map[uint64]bool{}
	var out Explored
	var walk func(way []string)
	walk = func(way []string) {
		if out.Broken != "" || out.States >= b.States {
			out.Deeper = out.Deeper || out.Broken == ""
			return
		}
		s := newSmall(b.Fault)
		for _, c := range way {
			s.do(c)
		}
		if s.Runs > 1 {
			out.Broken, out.Way = "TWICE: both edges run the key", slices.Clone(way)
			return
		}
		if f := fingerprint(seed, reflect.ValueOf(s)); met[f] {
			return
		} else {
			met[f] = true
		}
		out.States++
		for _, c := range s.choices(b) {
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
		return uint64(6 + btoi(v.Bool()))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return mix(8, uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return mix(9, v.Uint())
	default:
		return 10
	}
}
