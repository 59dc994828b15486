//go:build !race

package rehearse_test

const raced = false
