// Package hostserver emulates the platform's host list.
//
// PUT and DELETE of /hosts/{name} set and remove an entry, POST /hosts/{name}/leaving marks it as leaving, and GET /hosts
// returns the published list, in which changes appear after a lag. With since set to the published version, the response
// has no hosts.
package hostserver
