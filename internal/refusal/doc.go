// Package refusal holds the reasons for which a router refuses a request, with their statuses.
package refusal
