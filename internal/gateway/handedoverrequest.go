package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

const (
	// overdueCheckInterval is the time between checks for requests that a peer has not answered by their deadlines.
	overdueCheckInterval = 200 * time.Millisecond
	// overdueSlack is the time after its deadline in which a request is left to the peer, which ends it at the deadline.
	overdueSlack = 100 * time.Millisecond
	// minParseWait is the time from which the deadline of a request is read. Most answers are complete earlier.
	minParseWait = 500 * time.Millisecond
)

// giveUpReason tells why a router does not wait for the answer of a peer any longer.
type giveUpReason int

const (
	notGivenUp giveUpReason = iota
	// requestOverdue means that the deadline of the request has passed, routerEnds that this process is about to end.
	requestOverdue
	routerEnds
)

// requestHead is what the head of a request tells.
type requestHead struct {
	id string
	// customer and service are the names of the customer and of the service that its route selects, "" if they are not known.
	customer, service string
	// tokens is the cost of the request, in the units of fair shares.
	tokens float64
	// takesUpStream is set if the caller goes on with a stream that has begun before.
	takesUpStream bool
	// deadline is zero if it is not known.
	deadline time.Time
	// bytes is the size of the whole request, 0 if the head does not tell it, and math.MaxInt64 if the head is not complete.
	bytes int64
}

// parseHead returns what the first bytes of a request tell, given the time from which its caller has waited.
type parseHead func(head []byte, since time.Time) requestHead

// handedOverRequest is what a router knows of a request that it passes on to a peer, so that it can answer if the peer does not. It is
// safe for concurrent use.
type handedOverRequest struct {
	mu sync.Mutex
	// head holds the first bytes until the deadline is known. since is the time from which the caller may have waited, zero until a part arrives,
	// readAt the one at which the first part was read.
	head   []byte
	since  time.Time
	readAt time.Time
	parsed requestHead
	// passedBytes is the number of bytes that the peer may have got. isBroken is set if it has not got all that has arrived.
	passedBytes int64
	isBroken    bool
	// answer is what the caller has got of the peer's answer.
	answer passedAnswer
	// givenUp is set if the peer's answer is not awaited any longer.
	givenUp giveUpReason
	// hasLeft is set if the caller has left, isDismissed if the connection is to end because there is no request.
	hasLeft, isDismissed bool
	// isEnded is set when no more parts are passed on.
	isEnded bool
}

// addPart records a part of the request that has arrived, and reports whether it is the first one. The caller has waited since the given
// time, or since now if that is zero.
func (r *handedOverRequest) addPart(part []byte, since time.Time) (isFirst bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isDismissed = false
	if isFirst = r.since.IsZero(); isFirst {
		r.since, r.readAt = since, time.Now()
	}
	if r.since.IsZero() {
		r.since = r.readAt
	}
	if r.parsed.deadline.IsZero() && len(r.head) < maxHeaderBytes {
		r.head = append(r.head, part...)
	}
	return isFirst
}

// isPassedOn reports whether further parts are passed on: the peer has got all parts so far and goes on reading.
func (r *handedOverRequest) isPassedOn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.isBroken && !r.isEnded
}

// partPassed records that the peer got a number of bytes of a part, and why it did not get all of them.
func (r *handedOverRequest) partPassed(n int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passedBytes += int64(n)
	// The end of the peer's bytes is no end of its answer if a write has told that the peer has reset the connection.
	r.isBroken = r.isBroken || err != nil && !errors.Is(err, net.ErrClosed)
}

// stop ends the reading of the caller's connection.
func (r *handedOverRequest) stop(caller *net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isEnded = true
	_ = caller.SetReadDeadline(time.Now()) // On a broken connection, the read fails anyway.
}

// release records that the connection is not handed over.
func (r *handedOverRequest) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isEnded = true
}

// callerLeft records that the caller has left.
func (r *handedOverRequest) callerLeft() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasLeft = r.hasLeft || !r.isEnded
}

// dismiss ends the reading of the caller's connection if nothing of a request has arrived.
func (r *handedOverRequest) dismiss(caller *net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() && !r.isEnded {
		r.isDismissed = true
		_ = caller.SetReadDeadline(time.Now()) // On a broken connection, the read fails anyway.
	}
}

// continueReading makes the reading of the caller's connection go on after a deadline, and reports whether it does: a part may have arrived
// after all on a connection that was to be dismissed.
func (r *handedOverRequest) continueReading(caller *net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isEnded || r.since.IsZero() {
		return false
	}
	_ = caller.SetReadDeadline(time.Time{}) // On a broken connection, the next read fails as well.
	return true
}

// hasEnded reports whether no more parts are passed on.
func (r *handedOverRequest) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isEnded
}

// waited returns how long the caller has waited, zero if nothing has arrived.
func (r *handedOverRequest) waited() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() {
		return 0
	}
	return time.Since(r.since)
}

// giveUp makes the router not wait for the peer any longer, and ends a write to a caller that does not read. It reports false if the request has
// ended, was given up before, or has not arrived.
func (r *handedOverRequest) giveUp(reason giveUpReason, caller *net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isEnded || r.givenUp != notGivenUp || r.since.IsZero() {
		return false
	}
	r.givenUp = reason
	_ = caller.SetWriteDeadline(time.Now()) // On a broken connection, the write fails anyway.
	return true
}

// isGivenUp reports whether the peer's answer is not awaited any longer.
func (r *handedOverRequest) isGivenUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.givenUp != notGivenUp
}

// answerPassed records a part of the peer's answer that the caller has got.
func (r *handedOverRequest) answerPassed(part []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer.add(part)
}

// end returns how the connection has ended, given the error with which the peer's bytes have ended.
func (r *handedOverRequest) end(peerErr error) handoverEnd {
	r.mu.Lock()
	defer r.mu.Unlock()
	endedByPeer := errors.Is(peerErr, io.EOF) && !r.isBroken && r.givenUp == notGivenUp
	switch {
	case r.hasLeft:
		return endCallerLeft
	case r.answer.size == 0:
		return r.endWithoutAnswer()
	case endedByPeer, r.answer.isComplete():
		return endAnswered
	default:
		return endPartial
	}
}

// endWithoutAnswer is end if the caller has got nothing of an answer. The caller must hold r.mu.
func (r *handedOverRequest) endWithoutAnswer() handoverEnd {
	switch {
	case r.givenUp == requestOverdue:
		return endOverdue
	case r.isDismissed:
		return endDismissed
	case r.since.IsZero():
		return endUnused
	}
	return endUnanswered
}

// isOverdue reports whether the deadline of the request has passed. It is counted from the time at which the request was read if its answer has
// begun, since its caller may still be there.
func (r *handedOverRequest) isOverdue(now time.Time, parse parseHead) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() || now.Sub(r.since) < minParseWait {
		return false
	}
	r.parseHead(parse)
	overdueAt := r.parsed.deadline.Add(overdueSlack)
	if r.answer.size > 0 {
		overdueAt = overdueAt.Add(r.readAt.Sub(r.since))
	}
	return !r.parsed.deadline.IsZero() && now.After(overdueAt)
}

// parseHead reads the head, if that was not done. The caller must hold r.mu.
func (r *handedOverRequest) parseHead(parse parseHead) {
	if !r.parsed.deadline.IsZero() || r.head == nil {
		return
	}
	if r.parsed = parse(r.head, r.since); !r.parsed.deadline.IsZero() {
		r.head = nil
	}
}

// requestID returns the ID of the request, and "" if that is not known.
func (r *handedOverRequest) requestID(parse parseHead) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parseHead(parse)
	return r.parsed.id
}

// isIncomplete reports whether the peer cannot have got the whole request.
func (r *handedOverRequest) isIncomplete(parse parseHead) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parseHead(parse)
	return r.passedBytes == 0 || r.passedBytes < r.parsed.bytes
}

// headReaders holds readers of type *bufio.Reader, since a late router parses the heads of all requests that it refuses.
var headReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// parseHandedOver returns what the first bytes of a request tell that a peer has, given the time from which its caller has waited. The deadline
// is zero if they hold no complete head of a request with a route.
func (g *Gateway) parseHandedOver(head []byte, since time.Time) requestHead {
	reader := bytes.NewReader(head)
	buffered, _ := headReaders.Get().(*bufio.Reader)
	defer headReaders.Put(buffered)
	buffered.Reset(reader)
	r, err := http.ReadRequest(buffered)
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF) && len(head) < maxHeaderBytes: // No later bytes of the head were left out.
		return requestHead{bytes: math.MaxInt64}
	case err != nil:
		return requestHead{}
	}
	parsed := requestHead{bytes: requestBytes(r, len(head)-reader.Len()-buffered.Buffered())}
	table := g.config.Table()
	if table == nil {
		return parsed
	}
	info, _ := g.adapters.Codec.ParseRequest(r, since) // The peer refuses an invalid request.
	parsed.id, parsed.takesUpStream = info.ID, info.ResumedID != "" || info.LastEventID != ""
	parsed.tokens = dispatch.RequestTokens(info.PromptTokens, info.MaxOutputTokens)
	if owner, known := table.CustomerByKey(info.APIKey); known {
		parsed.customer = owner.Name
	}
	if matched, found := table.Match(r.Host, r.URL.EscapedPath()); found {
		parsed.deadline, parsed.service = requestDeadline(matched, info, since), matched.SelectService(affinityKey(&info))
	}
	return parsed
}
