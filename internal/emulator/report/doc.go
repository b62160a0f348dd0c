// Package report publishes the load report of an emulated target with a lag.
package report
