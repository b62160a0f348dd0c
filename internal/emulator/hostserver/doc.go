// Package hostserver emulates the platform's host list.
//
// PUT and DELETE of /hosts/{name} set and remove an entry, POST /hosts/{name}/leaving marks it, and GET /hosts shows the
// list with a lag.
package hostserver
