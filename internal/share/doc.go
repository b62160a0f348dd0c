// Package share counts the service of customers over the whole fleet.
//
// Each scheduler keeps a Ledger for each of its pools: the weighted service that it gave to each customer in its
// incarnation. Customers are divided into shards, and one router owns each shard of each model: its Owner sums what the
// ledgers report and answers with the totals.
//
// All quantities are weighted milli-units: service divided by the weight that the customer had when it was charged.
package share
