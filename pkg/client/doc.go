// Package client calls models and services through the routers of a fleet.
//
// A streamed answer survives the loss of its router: the stream goes on at another router with the token index that
// comes next, so that no token is missing or doubled.
package client
