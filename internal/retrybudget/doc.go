// Package retrybudget limits how often requests are retried at another target, so that retries do not multiply the load when
// targets are already failing.
package retrybudget
