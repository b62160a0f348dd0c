// Package router runs one router process around the decision core of package node. It serves the HTTP interface of callers
// and operators, calls targets, reads the log and load reports, keeps links to other routers, and runs the tick loop, which
// is the only goroutine that uses the node.
package router
