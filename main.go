// Command chicorydale is a router of the fleet and the operators' command line.
package main

import (
	"os"

	"github.com/chicorydale/chicorydale/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], nil))
}
