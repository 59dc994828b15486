package config_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/config"
)

// reference is a configuration that is implemented with a simpler algorithm than Config, by linear search in lists. The
// results of Config must be identical to its results.
type reference struct {
	version  string
	other    map[string]json.RawMessage
	services []namedItem
	limits   json.RawMessage
	hosts    []string
	routes   []namedItem
}

type namedItem struct {
	name, host string
	raw        json.RawMessage
}

type referenceItems struct {
	Services []json.RawMessage `json:"services"`
	Limits   json.RawMessage   `json:"limits"`
	Plants   []referenceHost   `json:"plants"`
}

type referenceHost struct {
	Plant    string            `json:"plant"`
	Channels []json.RawMessage `json:"channels"`
}

func upsertItem(list []namedItem, raw json.RawMessage, host string) []namedItem {
	var named struct{ Name string }
	Expect(json.Unmarshal(raw, &named)).To(Succeed())
	added := namedItem{named.Name, host, raw}
	if i := slices.IndexFunc(list, func(o namedItem) bool { return o.name == added.name }); i >= 0 {
		list[i] = added
		return list
	}
	return append(list, added)
}

func (f *reference) upsert(items referenceItems) {
	if len(items.Limits) > 0 {
		f.limits = items.Limits
	}
	for _, raw := range items.Services {
		f.services = upsertItem(f.services, raw, "")
	}
	for _, p := range items.Plants {
		if !slices.Contains(f.hosts, p.Plant) {
			f.hosts = append(f.hosts, p.Plant)
		}
		for _, raw := range p.Channels {
			f.routes = upsertItem(f.routes, raw, p.Plant)
		}
	}
}

func parseReference(text []byte) *reference {
	f := &reference{}
	var items referenceItems
	Expect(json.Unmarshal(text, &items)).To(Succeed())
	Expect(json.Unmarshal(text, &f.other)).To(Succeed())
	Expect(json.Unmarshal(f.other["version"], &f.version)).To(Succeed())
	for _, known := range []string{"version", "services", "limits", "plants"} {
		delete(f.other, known)
	}
	f.upsert(items)
	return f
}

func (f *reference) patch(text []byte) {
	var change struct {
		Version string
		Upsert  referenceItems
		Remove  struct{ Routes, Services, Plants []string }
	}
	Expect(json.Unmarshal(text, &change)).To(Succeed())
	f.version = change.Version
	f.routes = slices.DeleteFunc(f.routes, func(r namedItem) bool {
		return slices.Contains(change.Remove.Routes, r.name) || slices.Contains(change.Remove.Plants, r.host)
	})
	f.services = slices.DeleteFunc(f.services, func(s namedItem) bool { return slices.Contains(change.Remove.Services, s.name) })
	f.upsert(change.Upsert)
}

func (f *reference) encode() []byte {
	out := map[string]any{"version": f.version}
	for name, raw := range f.other {
		out[name] = raw
	}
	services, plants := []json.RawMessage{}, []referenceHost{}
	for _, s := range f.services {
		services = append(services, s.raw)
	}
	for _, name := range f.hosts {
		p := referenceHost{Plant: name}
		for _, r := range f.routes {
			if r.host == name {
				p.Channels = append(p.Channels, r.raw)
			}
		}
		if len(p.Channels) > 0 {
			plants = append(plants, p)
		}
	}
	out["services"], out["plants"] = services, plants
	if len(f.limits) > 0 {
		out["limits"] = f.limits
	}
	return must(json.Marshal(out))
}

// generator creates random configurations from few names, so that routes move between hosts, are added again after a removal
// and share a prefix.
type generator struct{ *rand.Rand }

func (d generator) hosts(hosts, channels int) string {
	var all []string
	for range d.IntN(hosts + 1) {
		var routes []string
		for range d.IntN(channels + 1) {
			routes = append(routes, fmt.Sprintf(`{ "name":"r-%d","path_prefix":"/%s","kind":"safe","deadline_s":%d,"service":"always","tries":1,"note":"<%d>"}`,
				d.IntN(12), strings.Repeat("a/", d.IntN(3)), 1+d.IntN(9), d.IntN(99)))
		}
		all = append(all, fmt.Sprintf(`{"plant":"%s.example","channels":[%s]}`, []string{"A", "a", "b", "c", "d", "E"}[d.IntN(6)], strings.Join(routes, ",")))
	}
	return strings.Join(all, ",")
}

func (d generator) services() string {
	all := []string{`{"name":"always"}`}
	for range d.IntN(4) {
		all = append(all, fmt.Sprintf(`{"name":"s-%d","conn_limit":%d}`, d.IntN(5), d.IntN(99)))
	}
	d.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return strings.Join(all, ",")
}

func (d generator) limits() string {
	return []string{``, `"limits":{},`, fmt.Sprintf(`"limits":{"idle_s":%d},`, 1+d.IntN(9)), fmt.Sprintf(`"limits":{"max_body_bytes":%d},`, 1+d.IntN(9))}[d.IntN(4)]
}

func (d generator) configuration() []byte {
	return fmt.Appendf(nil, `{"version":"r1","note":{"kept":%d},%s"services":[%s],"plants":[%s]}`, d.IntN(9), d.limits(), d.services(), d.hosts(8, 4))
}

func (d generator) change(version int) []byte {
	return fmt.Appendf(nil, `{"version":"r%d","upsert":{%s"services":[%s],"plants":[%s]},"remove":{"routes":["r-%d","r-%d"],"plants":["%s.example"],"services":["s-%d"]}}`,
		version, d.limits(), d.services(), d.hosts(2, 3), d.IntN(20), d.IntN(20), []string{"a", "b", "c", "x", "y", "z"}[d.IntN(6)], d.IntN(9))
}

var _ = Describe("random configurations and changes", func() {
	It("are encoded byte for byte as by the reference algorithm", func() {
		d := generator{rand.New(rand.NewPCG(1, 2))}
		for range 300 {
			text := d.configuration()
			c, f := parse(string(text)), parseReference(text)
			for version := 2; version < 8; version++ {
				Expect(string(must(json.Marshal(c)))).To(Equal(string(f.encode())), "from %s", text)
				change := d.change(version)
				c = must(c.Patch(change))
				f = parseReference(f.encode()) // as read back after a restart: the order of routes that all controllers can reproduce
				f.patch(change)
			}
		}
	})
	It("are identical whether or not they are encoded and parsed again between changes", func() {
		d := generator{rand.New(rand.NewPCG(3, 4))}
		for range 100 {
			c := parse(string(d.configuration()))
			read := c
			for version := 2; version < 8; version++ {
				if d.IntN(2) == 0 {
					read = parse(string(must(json.Marshal(read))))
				}
				change := d.change(version)
				c, read = must(c.Patch(change)), must(read.Patch(change))
				Expect(string(must(json.Marshal(read)))).To(Equal(string(must(json.Marshal(c)))))
				Expect(read.Limits).To(Equal(c.Limits), "after %s", change)
				tree, treeRead := config.NewTree(c), config.NewTree(read)
				for _, host := range []string{"a.example", "b.example", "c.example", "d.example", "e.example"} {
					for _, path := range []string{"/x", "/a/x", "/a/a/x"} {
						one, two := tree.Find(host, path), treeRead.Find(host, path)
						Expect(two == nil).To(Equal(one == nil))
						if one != nil {
							Expect(two.Name).To(Equal(one.Name), "%s%s after %s", host, path, change)
						}
					}
				}
			}
		}
	})
})

func must[T any](out T, err error) T {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	return out
}
