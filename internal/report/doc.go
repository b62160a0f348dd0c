// Package report summarizes gateway logs: the outcomes of the requests of each route or customer, their queue times, and
// the differences between expected and actual target latencies.
package report
