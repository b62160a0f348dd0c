// Package router is the process around a decision core: callers' and operators' HTTP interface, calls to targets,
// readers of the log and of load reports, links to other routers, and the tick loop.
package router
