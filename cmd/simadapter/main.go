// Command simadapter runs routers in the simulator. It reads batches of events from standard input, and for each batch
// writes a reply with the routers' actions to standard output. It ends when the input ends, or after an error with exit
// code 1 and one line on standard error.
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
