//go:build !race

package harness

// RaceEnabled is true if the tests are built with the race detector. The programs are then built with it too.
const RaceEnabled = false
