// Package report keeps the lagging load report of an emulated target.
package report
