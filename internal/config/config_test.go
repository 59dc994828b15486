package config_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

const validConfig = `{"version":"r7","note":{"kept":true},"services":[{"name":"tags","health_path":"/health","conn_limit":110,"extra":1},{"name":"ledger"}],` +
	`"limits":{"max_body_bytes":1000,"idle_s":15},"plants":[{"plant":"A.example","channels":[` +
	`{"name":"r-1","path_prefix":"/a/","kind":"safe","deadline_s":1,"setpoint_s":0.4,"service":"tags","tries":2},` +
	`{"name":"r-2","path_prefix":"/a/b/","kind":"keyed","deadline_s":1.2,"split":[{"service":"tags","gain":9},{"service":"ledger","gain":1}],"tries":2}]}]}`

func parse(text string) *config.Config {
	c, err := config.Parse([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return c
}

var _ = Describe("a configuration", func() {
	It("is returned as it was put, including unknown fields", func() {
		out, err := json.Marshal(parse(validConfig))
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(MatchJSON(validConfig))
	})
	DescribeTable("is rejected when", func(old, new string) {
		Expect(validConfig).To(ContainSubstring(old))
		_, err := config.Parse([]byte(strings.Replace(validConfig, old, new, 1)))
		Expect(err).To(HaveOccurred())
	},
		Entry("a route names an unknown service", `"service":"tags"`, `"service":"tabs"`),
		Entry("the weights of a route sum to 0", `"gain":9},{"service":"ledger","gain":1`, `"gain":0},{"service":"ledger","gain":0`),
		Entry("a deadline equals 0", `"deadline_s":1,`, `"deadline_s":0,`),
		Entry("a route has no tries", `"tries":2`, `"tries":0`),
		Entry("a prefix does not start with a slash", `"/a/"`, `"a/"`),
		Entry("it is truncated", `]}]}`, `]}`),
		Entry("a number is a string", `"conn_limit":110`, `"conn_limit":"many"`),
		Entry("it has no version", `"version":"r7",`, ``),
		Entry("its version is not a number", `"r7"`, `"seven"`),
		Entry("another value follows it", `]}]}`, `]}]}{}`),
		Entry("an extra bracket follows it", `]}]}`, `]}]}}`),
	)
	It("applies a change of named items and stays unmodified", func() {
		c := parse(validConfig)
		next, err := c.Patch([]byte(`{"version":"r9","upsert":{"plants":[{"plant":"b.example","channels":[{"name":"r-3","path_prefix":"/","kind":"safe","deadline_s":2,"service":"ledger","tries":1}]}]},"remove":{"routes":["r-1"]}}`))
		Expect(err).NotTo(HaveOccurred())
		t := config.NewTree(next)
		Expect(t.Find("a.example", "/a/x")).To(BeNil())
		Expect(t.Find("b.example", "/any").Name).To(Equal("r-3"))
		Expect(config.NewTree(c).Find("a.example", "/a/x").Name).To(Equal("r-1"))
	})
	DescribeTable("rejects a change that", func(change string) {
		_, err := parse(validConfig).Patch([]byte(change))
		Expect(err).To(HaveOccurred())
	},
		Entry("is not newer", `{"version":"r7"}`),
		Entry("removes a service that a route needs", `{"version":"r8","remove":{"services":["ledger"]}}`),
		Entry("is truncated", `{"version":"r8","upsert":{"plants":[`),
	)
})

var _ = Describe("the route tree", func() {
	DescribeTable("finds the longest prefix", func(host, path, want string) {
		r := config.NewTree(parse(validConfig)).Find(host, path)
		if want == "" {
			Expect(r).To(BeNil())
			return
		}
		Expect(r.Name).To(Equal(want))
	},
		Entry("a prefix", "a.example", "/a/x", "r-1"),
		Entry("a longer prefix", "a.example", "/a/b/x", "r-2"),
		Entry("the prefix itself", "a.example", "/a/b/", "r-2"),
		Entry("no slash after the last segment", "a.example", "/a/b", "r-1"),
		Entry("a segment that only starts with the prefix", "a.example", "/ab/", ""),
		Entry("a host in capitals with a port", "A.EXAMPLE:8080", "/a/x", "r-1"),
		Entry("another host", "b.example", "/a/x", ""),
		Entry("an empty segment", "a.example", "//a/x", ""),
	)
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := config.Parse(body)
		if err != nil {
			return
		}
		text, err := json.Marshal(c)
		if err != nil {
			t.Fatalf("parsed, but can't be encoded: %v", err)
		}
		if _, err := config.Parse(text); err != nil {
			t.Fatalf("encoded, but rejected by Parse: %v", err)
		}
	})
}
