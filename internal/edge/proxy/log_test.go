package proxy

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	. "github.com/onsi/gomega"
)

// Each failed request is logged with its kind, cause and server, up to a limit of lines per second and kind. The metrics
// count the failures beyond the limit, too.
func TestLogContainsFailedRequestsAndCauses(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		var text bytes.Buffer
		h.Logger = log.NewLogfmtLogger(&text)
		lines := func() []string {
			all := strings.Split(strings.TrimSpace(text.String()), "\n")
			text.Reset()
			return all
		}
		h.addServer("i-1", truncatedResponse)
		h.request("GET", "/u/x", "")
		h.g.Expect(lines()).To(ConsistOf(And(ContainSubstring(`event="request failed"`), ContainSubstring("kind=mulleinwood.perhaps_run"),
			ContainSubstring("attempt=try-1"), ContainSubstring("host=a.example"), ContainSubstring("i-1 is truncated"))))
		h.request("GET", "/none/x", "")
		h.g.Expect(lines()).To(ConsistOf(And(ContainSubstring("no_route"), ContainSubstring("/none/x"))))
		time.Sleep(time.Second)
		for range 40 {
			h.request("GET", "/none/x", "")
		}
		h.g.Expect(lines()).To(HaveLen(maxLogLinesPerSecond), "a flood of rejections is logged at a limited rate")
		w := httptest.NewRecorder()
		h.serveReadiness(w, httptest.NewRequest("GET", "/metrics", nil))
		h.g.Expect(w.Body.String()).To(ContainSubstring(fmt.Sprintf(`mulleinwood_given_up_total{error="mulleinwood.no_route",role="edge"} %d`, 41)))
	})
}
