// Package client calls models and services through the routers of a fleet.
//
// A streamed response survives the loss of its router: the client resumes it at another router from the next token
// index, so that no token is lost or duplicated.
package client
