package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/event"
)

const (
	// overdueCheckInterval is the time between checks for requests that a peer has not answered by their deadlines.
	overdueCheckInterval = 200 * time.Millisecond
	// overdueSlack is the time after its deadline in which a request is left to the peer, which ends it at the deadline.
	overdueSlack = 100 * time.Millisecond
	// minParseWait is the time from which the deadline of a request is read. Most answers are complete earlier.
	minParseWait = 500 * time.Millisecond
	// overdueWriteTimeout limits the time to answer an overdue request.
	overdueWriteTimeout = 50 * time.Millisecond
	// overdueAnswer is the answer to a request that the peer has not answered. It may have run.
	overdueAnswer = "HTTP/1.1 504 Gateway Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// errOverdue says that a peer has not answered a request by its deadline.
var errOverdue = errors.New("the peer has not answered a request by its deadline")

// answerSource tells who answers a handed over request.
type answerSource int

const (
	noAnswer answerSource = iota
	answerOfPeer
	answerOfRouter
)

// handedOverRequest is what a router keeps of a request that it passes on to a peer, so that it can answer if the peer does not. It is
// safe for concurrent use.
type handedOverRequest struct {
	mu sync.Mutex
	// head holds the first bytes until the deadline is known. since is the time from which the caller has waited.
	head  []byte
	since time.Time
	// id and deadline are those of the request once it was parsed. The deadline is zero before.
	id       string
	deadline time.Time
	answer   answerSource
}

// add records a part of the request. The caller has waited since the given time, or since now if that is zero.
func (r *handedOverRequest) add(part []byte, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() {
		r.since = since
	}
	if r.since.IsZero() {
		r.since = time.Now()
	}
	if r.deadline.IsZero() && len(r.head) < maxHeaderBytes {
		r.head = append(r.head, part...)
	}
}

// beginAnswer reports whether the source answers the request, because no other one has begun to.
func (r *handedOverRequest) beginAnswer(source answerSource) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answer == noAnswer {
		r.answer = source
	}
	return r.answer == source
}

// isOverdue reports whether the deadline of the request has passed.
func (r *handedOverRequest) isOverdue(now time.Time, parse func(head []byte, since time.Time) (string, time.Time)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() || now.Sub(r.since) < minParseWait {
		return false
	}
	if r.deadline.IsZero() && r.head != nil {
		if r.id, r.deadline = parse(r.head, r.since); !r.deadline.IsZero() {
			r.head = nil
		}
	}
	return !r.deadline.IsZero() && now.After(r.deadline.Add(overdueSlack))
}

// endIfOverdue ends the request if the peer has not answered it completely by its deadline: with an answer if the peer has sent nothing.
func (p *handover) endIfOverdue(now time.Time) {
	if !p.request.isOverdue(now, p.handovers.parse) {
		return
	}
	p.handovers.peerFailed(p.peer, errOverdue)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target == nil {
		return
	}
	status := 0
	answered := p.request.beginAnswer(answerOfRouter)
	if answered {
		status = http.StatusGatewayTimeout
		_ = p.caller.SetWriteDeadline(now.Add(overdueWriteTimeout))
		_, err := p.caller.Write([]byte(overdueAnswer))
		answered = err == nil
	}
	event.HandoverOverdue.Log(p.handovers.logger, p.request.id, p.peer, now.Sub(p.request.since).Milliseconds(), status)
	p.close(!answered)
}

// parseHandedOver returns the ID and the deadline of a request that a peer has, given the bytes that were passed on and the time from which its
// caller has waited. The deadline is zero if the bytes hold no complete head of a request with a route.
func (g *Gateway) parseHandedOver(head []byte, since time.Time) (id string, deadline time.Time) {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	table := g.config.Table()
	if err != nil || table == nil {
		return "", time.Time{}
	}
	info, _ := g.adapters.Codec.ParseRequest(r, since) // The peer refuses an invalid request.
	matched, found := table.Match(r.Host, r.URL.EscapedPath())
	if !found {
		return info.ID, time.Time{}
	}
	return info.ID, requestDeadline(matched, info, since)
}
