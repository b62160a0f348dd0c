// Package cursor follows a log stream from page to page for decision cores that fold it.
package cursor
