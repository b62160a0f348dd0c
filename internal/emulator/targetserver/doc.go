// Package targetserver emulates the targets of the platform: model engines, which respond with event streams, and plain
// services. It records each run of a request, and can refuse requests and omit, truncate or duplicate responses.
package targetserver
