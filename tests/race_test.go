//go:build race

package tests

func init() { buildFlags = []string{"-race"} }
