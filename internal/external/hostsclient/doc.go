// Package hostsclient implements outside.HostLister for the platform's host list over HTTP.
package hostsclient
