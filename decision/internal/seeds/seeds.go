// Package seeds determines how many seeds a randomised test runs with.
package seeds

import (
	"os"
	"strconv"
	"testing"
)

// EnvironmentVariable is the environment variable that sets the number of seeds.
const EnvironmentVariable = "BAMBOODEAL_SEEDS"

// Count returns the number of seeds that the environment variable sets, or the fallback, which suits CI, when it is not
// set.
func Count(t testing.TB, fallback uint64) uint64 {
	value := os.Getenv(EnvironmentVariable)
	if value == "" {
		return fallback
	}
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil || n == 0 {
		t.Fatalf("%s=%q is not a positive number", EnvironmentVariable, value)
	}
	return n
}
