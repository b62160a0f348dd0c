// Package message holds what the decision cores share to talk to their peers.
package message
