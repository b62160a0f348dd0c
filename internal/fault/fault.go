package fault

import "fmt"

// Fault is one fault of a file.
type Fault struct {
	// Path names the field, for example operator_hashes[1]; it is empty for a fault of the whole file.
	Path string
	// Message is one clear line.
	Message string
}

// Newf returns a fault with a formatted problem.
func Newf(path, format string, args ...any) Fault {
	return Fault{Path: path, Message: fmt.Sprintf(format, args...)}
}

// String returns path and problem in one line.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}
