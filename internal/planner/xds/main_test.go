package xds

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that CI runs are reproducible.
func TestMain(m *testing.M) {
	flag.Lookup("rapid.seed").Value.Set("17")
	flag.Parse()
	os.Exit(m.Run())
}
