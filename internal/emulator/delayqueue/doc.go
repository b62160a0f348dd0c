// Package delayqueue delays the updates that an emulated system publishes.
package delayqueue
