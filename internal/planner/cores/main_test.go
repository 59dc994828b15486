package cores

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the draws of the property tests, so that CI gives the same verdict every time. Name a seed, or 0 for a
// new one, by -rapid.seed, and more draws by -rapid.checks.
func TestMain(m *testing.M) {
	seed := flag.Lookup("rapid.seed")
	seed.Value.Set("16")
	flag.Parse()
	os.Exit(m.Run())
}
