package simulation

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Shrink searches for a smaller plan that still violates the invariant. From the plan of the seed, it leaves out each part that
// the violation does not need. It returns the numbers of the parts that are left out, and the report of the run without these
// parts.
func Shrink(seed uint64, invariant string) (skip map[int]bool, report *Report) {
	return shrink(Parts(seed), invariant, func(skip map[int]bool) *Report { return Run(Draw(seed, skip), Options{}) })
}

// ShrinkFleet searches for a smaller plan of a fleet that still violates the invariant, as Shrink does. It leaves out faults.
func ShrinkFleet(seed uint64, invariant string) (skip map[int]bool, report *Report) {
	return shrink(DrawFleet(seed, nil).faultNumbers, invariant, func(skip map[int]bool) *Report { return RunFleet(DrawFleet(seed, skip), Options{}) })
}

func shrink(drawn []int, invariant string, run func(skip map[int]bool) *Report) (skip map[int]bool, report *Report) {
	skip = map[int]bool{}
	report = run(skip)
	for changed := true; changed; {
		changed = false
		for _, i := range drawn {
			if skip[i] {
				continue
			}
			skip[i] = true
			if without := run(skip); without.violates(invariant) {
				report, changed = without, true
				continue
			}
			delete(skip, i)
		}
	}
	return skip, report
}

func (r *Report) violates(invariant string) bool {
	return slices.ContainsFunc(r.Violations, func(b Violation) bool { return b.Invariant == invariant })
}

// FormatSkip returns the numbers of the parts in skip as one text, separated by commas, for use on a command line.
func FormatSkip(skip map[int]bool) string {
	var numbers []string
	for _, i := range slices.Sorted(maps.Keys(skip)) {
		numbers = append(numbers, strconv.Itoa(i))
	}
	return strings.Join(numbers, ",")
}
