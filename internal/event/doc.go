// Package event defines the numbered events that routers log. docs/events.md describes each of them for operators.
package event
