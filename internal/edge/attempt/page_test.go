package attempt_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/edge/attempt"
)

// The page shows the table as it is.
func TestPageShowsTheTable(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../../docs/attempts.md")
	g.Expect(err).NotTo(HaveOccurred())
	var table strings.Builder
	for _, c := range attempt.Causes() {
		row := c.Consequence()
		tell := [...]string{"503, a promise", "the answer", "502", "504", "a break"}[row.Disposition]
		again := [...]string{"never", "if safe", "always"}[row.Retry]
		kept := map[bool]string{true: "kept", false: "closed"}[row.ReuseConn]
		claim := [...]string{"left", "withdrawn", "finished"}[row.Claim]
		fmt.Fprintf(&table, "| `%s` | %s | %s | %s | %s | %s |\n", c, row.Outcome, tell, again, kept, claim)
	}
	if !strings.Contains(string(page), table.String()) {
		t.Errorf("docs/attempts.md should show:\n%s", table.String())
	}
}
