// Command wirehost hosts instances of the decision module on the simulator's wire.
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
