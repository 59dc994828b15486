package proxy

import (
	"flag"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"mulleinwood/internal/control/idempotency"
)

var update = flag.Bool("update", false, "rewrite the expected responses")

var metricValue = regexp.MustCompile(`(?m) [0-9.e+-]+$`)

// responseText returns a response as a client sees it. The random value of Retry-After is omitted; of metrics, only names and
// labels are included.
func responseText(name string, w *httptest.ResponseRecorder) string {
	var b strings.Builder
	fmt.Fprintf(&b, "== %s\n%d\n", name, w.Code)
	for _, key := range slices.Sorted(maps.Keys(w.Header())) {
		if key == "Retry-After" {
			b.WriteString("Retry-After is set\n")
			continue
		}
		fmt.Fprintf(&b, "%s: %s\n", key, strings.Join(w.Header()[key], " | "))
	}
	body := w.Body.String()
	if strings.HasSuffix(name, "/metrics") {
		lines := slices.DeleteFunc(strings.Split(metricValue.ReplaceAllString(body, ""), "\n"), func(l string) bool { return strings.HasPrefix(l, "# HELP") })
		body = strings.Join(lines, "\n")
	}
	return b.String() + body + "\n"
}

// Responses to clients and the platform match testdata/answers.txt: statuses, headers, bodies and names of metrics.
func TestAnswersOfAnEdge(t *testing.T) {
	servers := []struct {
		name   string
		answer func(*http.Request) string
	}{{"good", goodResponse}, {"full", rejectFull}, {"cut", truncatedResponse}, {"other", foreignResponse}, {"none", nil}}
	requests := []struct {
		name, method, path, body string
		headers                  []string
	}{
		{"safe", "GET", "/s/x", "", nil},
		{"head", "HEAD", "/s/x", "", nil},
		{"unsafe", "POST", "/u/x", "hello", nil},
		{"keyed", "POST", "/k/x", "hello", []string{"X-Operation-Key", "key-1"}},
		{"keyed again", "POST", "/k/x", "hello", []string{"X-Operation-Key", "key-2"}},
		{"keyed without a key", "POST", "/k/x", "hello", nil},
		{"keyed refused", "POST", "/k/x", "hello", []string{"X-Operation-Key", "key-3"}},
		{"no route", "GET", "/x", "", nil},
		{"no attempt id", "GET", "/s/x", "", []string{"X-Attempt-Id", ""}},
		{"bad deadline", "GET", "/s/x", "", []string{"X-Deadline-Ms", "soon"}},
		{"too large", "POST", "/u/x", strings.Repeat("x", 101), nil},
	}
	runEdge(t, func(h *testEdge) {
		var got strings.Builder
		refused, repeated := idempotency.KeyOf("a.example", "key-3"), idempotency.KeyOf("a.example", "key-2")
		h.decideClaim = func(r idempotency.Record) (idempotency.Outcome, *idempotency.Response) {
			switch r.Key {
			case refused:
				return idempotency.OutcomeUndecided, nil
			case repeated:
				return idempotency.OutcomeConflict, &idempotency.Response{Status: 201, Headers: map[string]string{"X-Server-Seal": "first"}, Body: []byte("paid")}
			}
			return idempotency.OutcomeGranted, nil
		}
		for _, server := range servers {
			if server.answer != nil {
				h.addServer("i-1", server.answer)
			} else {
				h.upstreams.mu.Lock()
				u := h.upstreams.picker.Remove("i-1")
				h.upstreams.mu.Unlock()
				u.Attachment.(*upstream).close()
			}
			for _, r := range requests {
				w := h.request(r.method, r.path, r.body, r.headers...)
				got.WriteString(responseText(server.name+": "+r.name, w))
			}
		}
		for _, path := range []string{"/readiness", "/metrics", "/x"} {
			w := httptest.NewRecorder()
			h.serveReadiness(w, httptest.NewRequest(http.MethodGet, path, nil))
			got.WriteString(responseText("GET "+path, w))
		}
		path := filepath.Join("testdata", "answers.txt")
		if *update {
			if err := os.WriteFile(path, []byte(got.String()), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if got.String() != string(want) {
			t.Errorf("responses differ from %s: got\n%s\nwant\n%s", path, got.String(), want)
		}
	})
}
