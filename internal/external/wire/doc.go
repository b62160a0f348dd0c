// Package wire defines the JSON messages of the HTTP protocols of external systems that package outside does not define.
//
// The requests of model and service calls, load reports and hosts are sent in the JSON form given by their tags in package
// outside.
package wire
