// Package tests runs the real programs as processes and talks to them as clients, cache servers, the origin and discovery
// would. Package harness has the helpers that the tests share.
package tests

import (
	"testing"

	"shelfproxy/tests/harness"
)

func TestMain(m *testing.M) { harness.Main(m) }
