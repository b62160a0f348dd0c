// Package loadreport publishes the load report of an emulated target with a lag.
package loadreport
