package requestqueue

import "github.com/chicorydale/chicorydale/internal/membership"

// cachedHome is a cached result of View.HomePool: the home pool of a model, and whether there is one.
type cachedHome struct {
	pool  membership.Pool
	found bool
}
