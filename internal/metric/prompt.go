package metric

// TokenSource is how a target is expected to get tokens of a prompt.
type TokenSource string

// Sources of prompt tokens.
const (
	// TokensKept are in the target's cache.
	TokensKept TokenSource = "kept"
	// TokensFetched are fetched from the cache of another target.
	TokensFetched TokenSource = "fetched"
	// TokensRead are read by the target.
	TokensRead TokenSource = "read"
)

// TokenSources returns all sources.
func TokenSources() []TokenSource { return []TokenSource{TokensKept, TokensFetched, TokensRead} }

// CountPromptTokens counts tokens of the prompt of a request that got a target. An unknown source is ignored.
func (s *Set) CountPromptTokens(source TokenSource, tokens int) {
	if counter, found := s.promptTokens[source]; found {
		counter.Inc(int64(tokens))
	}
}
