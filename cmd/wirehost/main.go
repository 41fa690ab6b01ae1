// Command wirehost runs servers of the admission controller for the simulator. It speaks the simulator's line protocol on standard
// input and output (package simadapter).
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
