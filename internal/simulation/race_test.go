//go:build race

package simulation_test

// raceDetector reports whether the race detector is on. Each scenario runs on a single goroutine, where the detector can
// find nothing and takes ten times as long, so tests run fewer scenarios with it.
const raceDetector = true
