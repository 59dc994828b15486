package attempt_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/edge/attempt"
)

// Guards against a page whose table differs from the code.
func TestPageShowsTheTable(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../../docs/attempts.md")
	g.Expect(err).NotTo(HaveOccurred())
	var table strings.Builder
	for _, c := range attempt.Causes() {
		row := c.Consequence()
		tell := [...]string{"503, safe refusal", "the response", "502", "504", "connection aborted"}[row.Disposition]
		retry := [...]string{"never", "if safe", "always"}[row.Retry]
		connection := map[bool]string{true: "reused", false: "closed"}[row.ReuseConn]
		claim := [...]string{"kept", "revoked", "completed"}[row.Claim]
		fmt.Fprintf(&table, "| `%s` | %s | %s | %s | %s | %s |\n", c, row.Outcome, tell, retry, connection, claim)
	}
	if !strings.Contains(string(page), table.String()) {
		t.Errorf("docs/attempts.md should show:\n%s", table.String())
	}
}
