// Package engineclient implements outside.Engine for model engines that are called over HTTP.
package engineclient
