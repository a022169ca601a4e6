//go:build race

package sim

func init() { seedsInCI = 60 }
