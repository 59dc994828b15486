//go:build !race

package simulation_test

const raced = false
