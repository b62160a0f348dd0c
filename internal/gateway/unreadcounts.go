package gateway

import (
	"cmp"
	"slices"
	"sync"
)

// unreadCounts counts the requests that were refused unread, by service and customer. It is safe for concurrent use.
type unreadCounts struct {
	mu    sync.Mutex
	byKey map[standingKey]unreadCount
}

// unreadCount is what was refused of one customer, its cost in the units of fair shares.
type unreadCount struct {
	standingKey
	requests int
	tokens   float64
}

// add counts the request with a head.
func (u *unreadCounts) add(head *requestHead) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byKey == nil {
		u.byKey = make(map[standingKey]unreadCount)
	}
	key := standingKey{head.service, head.customer}
	count := u.byKey[key]
	u.byKey[key] = unreadCount{standingKey: key, requests: count.requests + 1, tokens: count.tokens + head.tokens}
}

// take returns the counts since the last call, at most limit of them, the largest ones first.
func (u *unreadCounts) take(limit int) []unreadCount {
	u.mu.Lock()
	byKey := u.byKey
	u.byKey = nil
	u.mu.Unlock()
	counts := make([]unreadCount, 0, len(byKey))
	for _, count := range byKey {
		counts = append(counts, count)
	}
	slices.SortFunc(counts, func(a, b unreadCount) int {
		return cmp.Or(cmp.Compare(b.tokens, a.tokens), cmp.Compare(a.service, b.service), cmp.Compare(a.customer, b.customer))
	})
	return counts[:min(limit, len(counts))]
}
