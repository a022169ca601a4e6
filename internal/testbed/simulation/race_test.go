//go:build race

package simulation

// With the race detector, tests run fewer seeds, because it makes runs about ten times slower.
func init() { seedsInCI = 60 }
