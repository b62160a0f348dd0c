// Package overload decides which requests are refused before they are read, while the process itself gets too little
// processor time for the connections that come.
//
// The load it answers is a crowd of callers that repeat refused requests at once, each on a new connection. Reading a request
// costs most of what refusing it costs, and a process that is behind notices late that callers leave.
package overload
