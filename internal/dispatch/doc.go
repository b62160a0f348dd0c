// Package dispatch decides which target runs a request, which requests wait, and which are refused. It performs no input or
// output, starts no goroutine and reads no clock: callers pass the current time.
//
// Targets admit requests in the order of arrival and have no priorities. So requests wait here and not at the targets: a
// target is sent at most as many requests as it runs at once, and only as many prompt tokens as it reads in a short time (see
// maxBacklogSeconds).
//
// Reading a prompt means computing its KV cache entries, also known as prefill. Parts of prompts that several requests share
// stay in a target's cache, so that it does not read them again. Unread tokens are those that a target has been sent and has
// not read yet.
package dispatch
