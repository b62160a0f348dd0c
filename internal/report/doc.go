// Package report sums up the log of gateways: what became of the requests of each route or customer, how long they waited,
// and how far the expected times to the first byte were from the actual ones.
package report
