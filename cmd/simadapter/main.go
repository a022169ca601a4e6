// Command simadapter runs routers in the simulator: it reads batches of events from standard input and writes a reply with
// the routers' actions for each to standard output. It ends with the input, or with code 1 and a line on standard error.
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
