// Package overload decides which requests are refused before they are read, while the process gets too little CPU time for its
// new connections.
//
// It protects against callers that repeat refused requests at once, each on a new connection. Reading a request takes most of
// the CPU time of refusing it, and an overloaded process notices late that callers have left.
package overload
