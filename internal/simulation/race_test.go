//go:build race

package simulation_test

// Days are played by one goroutine each, which the race detector has nothing to say about and takes ten times as long for.
const raced = true
