// Package fault injects failures into an emulated system. A test sets them in the process or over HTTP.
package fault
