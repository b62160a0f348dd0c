// Command chicorydale is a router of the fleet and the operators' command line.
package main

func main() {
}
