// Package accounting sums the service of each customer over the whole fleet.
//
// A scheduler keeps one Ledger for each of its pools, with the weighted service that it gave to each customer in its
// incarnation. Customers are divided into shards, and each shard of each model is owned by one router. The Owner at that router
// sums what the ledgers report and answers with the fleet-wide totals.
//
// All quantities are weighted milli-units: service divided by the weight that the customer had when it was charged. Nothing in
// this package is safe for concurrent use.
package accounting
