package fault

import "fmt"

// Fault is one fault of a file.
type Fault struct {
	// Path names the field, for example operator_hashes[1]; it is empty for a fault of the whole file.
	Path string
	// Problem is one clear line.
	Problem string
}

// New returns a fault with a formatted problem.
func New(path, format string, args ...any) Fault {
	return Fault{Path: path, Problem: fmt.Sprintf(format, args...)}
}

// String returns path and problem in one line.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Problem
	}
	return f.Path + ": " + f.Problem
}
