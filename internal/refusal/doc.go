// Package refusal defines the reasons for which a router refuses a request, with their HTTP statuses.
package refusal
