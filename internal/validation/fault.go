package validation

import "fmt"

// Fault describes what is wrong with one field of a file or with the whole file.
type Fault struct {
	// Path locates the field, for example operator_hashes[1], or the line of a syntax error. It is empty for a fault of the
	// whole file.
	Path string
	// Message is one line that completes a sentence about the field, such as "must be a list of hashes".
	Message string
}

// Newf returns a fault with a formatted message.
func Newf(path, format string, args ...any) Fault {
	return Fault{Path: path, Message: fmt.Sprintf(format, args...)}
}

// String returns the path, if there is one, and the message in one line.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}
