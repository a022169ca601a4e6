//go:build !race

package harness

// RaceEnabled says whether the tests, and with them the programs, have the race detector.
const RaceEnabled = false
