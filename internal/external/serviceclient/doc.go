// Package serviceclient implements outside.Service for replicas of plain services that are called over HTTP.
package serviceclient
