package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Shrink leaves out one part after another of a seed's plan for as long as the same rule stays broken, and returns what is left
// out, with the report of that run.
func Shrink(seed uint64, rule string) (skip map[int]bool, report *Report) {
	return shrink(Parts(seed), rule, func(skip map[int]bool) *Report { return Run(Draw(seed, skip), Options{}) })
}

func shrink(on []int, rule string, run func(skip map[int]bool) *Report) (skip map[int]bool, report *Report) {
	skip = map[int]bool{}
	report = run(skip)
	for again := true; again; {
		again = false
		for _, i := range on {
			if skip[i] {
				continue
			}
			skip[i] = true
			if r := run(skip); slices.ContainsFunc(r.Broken, func(b Broken) bool { return b.Rule == rule }) {
				report, again = r, true
				continue
			}
			delete(skip, i)
		}
	}
	return skip, report
}

// SkipWords are the words of a mask, for a command line: the numbers of the parts left out.
func SkipWords(skip map[int]bool) string {
	var out []string
	for _, i := range slices.Sorted(maps.Keys(skip)) {
		out = append(out, fmt.Sprint(i))
	}
	return strings.Join(out, ",")
}

// ShrinkFleet leaves out one fault after another of a seed's plan for as long as the same rule stays broken.
func ShrinkFleet(seed uint64, rule string) (skip map[int]bool, report *Report) {
	return shrink(DrawFleet(seed, nil).drawn, rule, func(skip map[int]bool) *Report { return RunFleet(DrawFleet(seed, skip), Options{}) })
}
