// Package compat holds the tests that compare what this version writes, on the links between processes and on disk, with
// bytes that an earlier version wrote. It has no code of its own.
//
// The files under testdata were written by the generator in compat_test.go (go test ./internal/compat -update). They are
// written again only when a format is changed on purpose, together with the code that still reads the former one.
package compat
