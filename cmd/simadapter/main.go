// Command simadapter runs routers on the simulator's wire: batches on standard input, replies on standard
// output.
package main

import (
	"fmt"
	"os"

	"shelfproxy/internal/simwire"
)

func main() {
	if err := simwire.Host(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
