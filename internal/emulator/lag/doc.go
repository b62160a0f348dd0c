// Package lag delays the updates that an emulated system publishes.
package lag
