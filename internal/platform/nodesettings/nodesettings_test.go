package nodesettings_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/platform/nodesettings"
)

func TestBoot(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "nodesettings")
}

const good = `node: "core-1"
role: "controller"
ip: "10.0.0.1"
zone: "hall"
unknown_field:
  - 7
listen:
  control: "10.0.0.1:8649"
inner_port_range: [7620, 7635]
seeds: ["10.0.0.1:8649", "10.0.0.2:8649"]
first_start: true
data_dir: "/data/x"
tolerance: {machines: 2, zones: 0}
bounds:
  - "drain_s=2.5,closed=true"
  - "retry_slack=60"
`

var _ = Describe("a settings file", func() {
	It("is read, and fields that nobody knows pass", func() {
		s, err := nodesettings.Parse("node.yaml", []byte(good))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.SeedIPs()).To(Equal([]string{"10.0.0.1", "10.0.0.2"}))
		Expect(s.Bound("drain_s", 0)).To(Equal(2.5))
		Expect(s.Bound("closed", 0)).To(Equal(1.0))
		Expect(s.Bound("retry_slack", 0)).To(Equal(60.0))
		Expect(s.Bound("other", 7)).To(Equal(7.0))
		Expect(s.Tolerance.Machines).To(Equal(2))
		Expect(s.InnerAddress("10.0.0.9")).To(Equal("10.0.0.9:7620"))
		Expect(*s.DataDir).To(Equal("/data/x"))
	})
	DescribeTable("is refused in one line that names file and field", func(old, new, field string) {
		Expect(good).To(ContainSubstring(old))
		_, err := nodesettings.Parse("node.yaml", []byte(strings.Replace(good, old, new, 1)))
		Expect(err).To(HaveOccurred())
		Expect(err.Error()).To(ContainSubstring("node.yaml"))
		Expect(err.Error()).To(ContainSubstring(field))
		Expect(err.Error()).NotTo(ContainSubstring("\n"))
	},
		Entry("a missing field", `ip: "10.0.0.1"`, ``, "ip"),
		Entry("a field of the wrong kind", `zone: "hall"`, `zone: 7`, "zone"),
		Entry("no seeds", `seeds: ["10.0.0.1:8649", "10.0.0.2:8649"]`, `seeds: []`, "seeds"),
		Entry("a port out of range", `[7620, 7635]`, `[7620, 76350]`, "inner_port_range"),
		Entry("a bound without a figure", `"retry_slack=60"`, `"retry_slack"`, "bounds"),
		Entry("text that is no YAML", `node:`, `node: [`, ""),
	)
})

const full = `node: "edge-7"
role: "edge"
serves: ["edge", "controller"]
ip: "10.0.0.7"
zone: "hall"
region: "north"
zones: {hall: "north", yard: "south"}
listen: {front: "10.0.0.7:80", readiness: "10.0.0.7:81", control: "10.0.0.7:8649"}
inner_port_range: [7620, 7635]
seeds: ["10.0.0.1:8649"]
first_start: true
counted: true
limits: {cpu_share: 0.27, memory_mb: 96, file_handles: 1024, disk_mb: 64}
tolerance: {machines: 2, zones: 1, regions: 0}
data_dir: "/data/x"
beat_period_s: 1.5
bounds: ["drain_s=2.5,closed=true"]
`

var _ = Describe("every field of a settings file", func() {
	It("is read under the name that the platform gives it", func() {
		s, err := nodesettings.Parse("node.yaml", []byte(full))
		Expect(err).NotTo(HaveOccurred())
		text, err := json.Marshal(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal(`{"node":"edge-7","role":"edge","serves":["edge","controller"],"ip":"10.0.0.7","zone":"hall","region":"north",` +
			`"zones":{"hall":"north","yard":"south"},"listen":{"front":"10.0.0.7:80","readiness":"10.0.0.7:81","control":"10.0.0.7:8649"},` +
			`"inner_port_range":[7620,7635],"seeds":["10.0.0.1:8649"],"first_start":true,"counted":true,` +
			`"limits":{"cpu_share":0.27,"memory_mb":96,"file_handles":1024,"disk_mb":64},"tolerance":{"machines":2,"zones":1,"regions":0},` +
			`"data_dir":"/data/x","beat_period_s":1.5,"bounds":["drain_s=2.5,closed=true"]}`))
	})
})
