package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/operator"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

func quiet(string, ...any) {}

var _ = Describe("the client", func() {
	It("follows to the leader, and goes to the next controller when one fails", func() {
		leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.Header.Get("If-Match")).To(Equal("r1"))
			_, _ = w.Write([]byte("taken"))
		}))
		defer leader.Close()
		follower := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Location", leader.URL+r.URL.Path)
			w.WriteHeader(http.StatusTemporaryRedirect)
		}))
		defer follower.Close()
		failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
		defer failing.Close()
		host := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
		c := operator.New([]string{host(failing), host(follower)}, quiet)
		text, err := c.Call(context.Background(), "PUT", "/config", http.Header{"If-Match": {"r1"}}, []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal("taken"))
	})
	It("stops at a clear refusal and says its reason", func() {
		calls := 0
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls++
			w.WriteHeader(http.StatusPreconditionFailed)
			_, _ = w.Write([]byte(`{"error":"built on r1, current is r2"}`))
		}))
		defer s.Close()
		_, err := operator.New([]string{strings.TrimPrefix(s.URL, "http://")}, quiet).Call(context.Background(), "PUT", "/config", nil, nil)
		Expect(err).To(MatchError(ContainSubstring("412: built on r1, current is r2")))
		Expect(calls).To(Equal(1))
	})
})

var _ = Describe("what needs looking at", func() {
	well := func() []operator.Status {
		return []operator.Status{{Node: "a", Leader: "a", InContact: true, Commit: 5}, {Node: "b", Leader: "a", InContact: true, Commit: 5}}
	}
	DescribeTable("names the fault", func(change func([]operator.Status), want string) {
		views := well()
		Expect(operator.Faults(views, nil)).To(BeEmpty())
		change(views)
		Expect(operator.Faults(views, nil)).To(ContainElement(ContainSubstring(want)))
	},
		Entry("cut off", func(v []operator.Status) { v[1].InContact = false }, "b is cut off"),
		Entry("behind", func(v []operator.Status) { v[1].Commit = 3 }, "b lags: it is at change 3 of 5"),
		Entry("an empty disk of a voter", func(v []operator.Status) { v[1].Recovering, v[1].Membership.Votes = true, true }, "b has an empty disk"),
		Entry("a full disk", func(v []operator.Status) { v[0].DiskFailing = true }, "a has a disk that refuses"),
		Entry("a slow disk", func(v []operator.Status) { v[0].DiskMs = 80 }, "80 ms"),
		Entry("no leader", func(v []operator.Status) { v[0].Leader, v[1].Leader = "", "" }, "nobody leads"),
		Entry("two leaders", func(v []operator.Status) { v[1].Leader = "b" }, "don't agree"),
	)
	It("is not a controller without a vote, which holds no claims", func() {
		views := well()
		views[1].Recovering = true
		Expect(operator.Faults(views, nil)).To(BeEmpty())
	})
})

var _ = It("a diff names what changes", func() {
	from := []byte(`{"services":[{"name":"s"}],"plants":[{"plant":"h","channels":[{"name":"a","tries":1},{"name":"b"}]}]}`)
	to := []byte(`{"services":[{"name":"s"}],"plants":[{"plant":"h","channels":[{"tries":2,"name":"a"},{"name":"c"}]}]}`)
	lines, err := operator.Diff(from, to)
	Expect(err).NotTo(HaveOccurred())
	Expect(lines).To(Equal([]string{`~ route a of h: {"name":"a","tries":1} -> {"name":"a","tries":2}`, "- route b of h", "+ route c of h"}))
})
