//go:build race

package simulation

// The race detector slows runs down by an order of magnitude.
func init() { seedsInCI = 60 }
