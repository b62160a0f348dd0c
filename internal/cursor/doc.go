// Package cursor tracks the read position in a log stream that is read page by page.
package cursor
