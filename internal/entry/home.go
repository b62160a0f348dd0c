package entry

import "github.com/chicorydale/chicorydale/internal/membership"

// home is the home pool of a model, if there is one.
type home struct {
	pool  membership.Pool
	found bool
}
