// Package event holds the numbered events that the product logs. docs/events.md is their catalogue for operators.
package event
