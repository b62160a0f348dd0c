// Package storeserver emulates the platform's store: a log of topics. Topics whose records have keys also keep the newest
// record of each key.
package storeserver
