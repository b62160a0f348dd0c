// Package logclient implements outside.Log for the platform's log service over HTTP.
package logclient
