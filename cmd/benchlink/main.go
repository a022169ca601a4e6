// Command benchlink runs routers on the simulator's wire: batches on standard input, replies on standard
// output.
package main

import (
	"fmt"
	"os"

	"shelfproxy/internal/wire"
)

func main() {
	if err := wire.Host(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
