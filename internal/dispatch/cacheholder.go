package dispatch

import "time"

// cacheHolder is a target from whose cache targets of the same build can fetch the beginning of a prompt. Caches that another version of
// the software has written are not used.
type cacheHolder struct {
	build string
	// target is nil if no target of the build has any of the prompt.
	target *targetState
	// tokens is the number of tokens of the prompt in its cache.
	tokens int
}

// cacheHolderFor returns the cache holder for targets of a build, among the candidates for a request.
func (s *service) cacheHolderFor(
	now time.Time, own Locality, build string, candidates []*targetState, request *Request,
) cacheHolder {
	for _, holder := range s.holders {
		if holder.build == build {
			return holder
		}
	}
	holder := bestCacheHolder(now, own, build, candidates, request)
	s.holders = append(s.holders, holder)
	return holder
}

// bestCacheHolder returns the healthy target of a build that has most of a request's prompt in its cache. Among equals it returns the one
// with the lowest network cost.
func bestCacheHolder(now time.Time, own Locality, build string, candidates []*targetState, request *Request) cacheHolder {
	best, bestCost := cacheHolder{build: build}, 0.0
	for _, state := range candidates {
		if state.Build != build {
			continue
		}
		cachedTokens := state.cachedTokens(now, request.Parts)
		if cachedTokens == 0 || !state.isHealthy(now) || state.notice.isPaused(now) {
			continue
		}
		if cost := own.networkCost(&state.Target); cachedTokens > best.tokens || cachedTokens == best.tokens && cost < bestCost {
			best.target, best.tokens, bestCost = state, cachedTokens, cost
		}
	}
	return best
}
