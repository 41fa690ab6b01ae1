// Command wirehost runs servers of the admission controller under the simulator, which speaks its line protocol on
// standard input and output (package simadapter).
package main

import (
	"fmt"
	"os"

	"sloehitch/internal/simadapter"
)

func main() {
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
