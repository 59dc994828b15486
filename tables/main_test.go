package tables

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that their results in CI are reproducible.
func TestMain(m *testing.M) {
	flag.Lookup("rapid.seed").Value.Set("18")
	flag.Parse()
	os.Exit(m.Run())
}
