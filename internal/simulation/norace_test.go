//go:build !race

package simulation_test

const raceDetector = false
