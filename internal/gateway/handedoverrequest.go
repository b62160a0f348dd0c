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
)

const (
	// overdueCheckInterval is the time between checks for requests that a peer has not answered by their deadlines.
	overdueCheckInterval = 200 * time.Millisecond
	// overdueSlack is the time after its deadline in which a request is left to the peer, which ends it at the deadline.
	overdueSlack = 100 * time.Millisecond
	// minParseWait is the time from which the deadline of a request is read. Most answers are complete earlier.
	minParseWait = 500 * time.Millisecond
	// maxKeptAnswerBytes is the size up to which an answer is kept, to tell whether it was complete when its connection broke. Refusals are
	// not larger.
	maxKeptAnswerBytes = 1 << 10
)

// answerSource tells who answers a handed over request.
type answerSource int

const (
	noAnswer answerSource = iota
	answerOfPeer
	answerOfRouter
)

// requestHead is what the head of a request tells.
type requestHead struct {
	id string
	// customer is the name of the customer, "" if it is not known.
	customer string
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
	// head holds the first bytes until the deadline is known. since is the time from which the caller has waited, zero until a part arrives.
	head   []byte
	since  time.Time
	parsed requestHead
	// passedBytes is the number of bytes that the peer may have got. isBroken is set if it has not got all that has arrived.
	passedBytes int64
	isBroken    bool
	// answer tells who answers, answered holds the peer's answer until it is larger than maxKeptAnswerBytes, answeredBytes is its size.
	answer        answerSource
	answered      []byte
	answeredBytes int
	// isBrokenOff is set if the peer's answer is not to be passed on any further.
	isBrokenOff bool
	// hasLeft is set if the caller has left, isDismissed if the connection ends because there is no request.
	hasLeft, isDismissed bool
	// isEnded is set when no more parts are passed on.
	isEnded bool
}

// addPart records a part of the request that has arrived, and reports whether it is the first one. The caller has waited since the given
// time, or since now if that is zero.
func (r *handedOverRequest) addPart(part []byte, since time.Time) (isFirst bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isFirst = r.since.IsZero(); isFirst {
		r.since = since
	}
	if r.since.IsZero() {
		r.since = time.Now()
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

// partPassed records that the peer got a number of bytes.
func (r *handedOverRequest) partPassed(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passedBytes += int64(n)
}

// partFailed records that the peer does not read any more.
func (r *handedOverRequest) partFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isBroken = true
}

// stop ends the reading of the caller's connection.
func (r *handedOverRequest) stop(caller *net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isEnded = true
	_ = caller.SetReadDeadline(time.Now()) // On a broken connection, the read fails anyway.
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
	if r.since.IsZero() {
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
	r.isDismissed = false
	_ = caller.SetReadDeadline(time.Time{}) // On a broken connection, the next read fails as well.
	return true
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

// addAnswer records a part of the peer's answer, and reports whether it is to be passed on.
func (r *handedOverRequest) addAnswer(part []byte) bool {
	if !r.beginAnswer(answerOfPeer) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answeredBytes += len(part); r.answeredBytes <= maxKeptAnswerBytes {
		r.answered = append(r.answered, part...)
	}
	return !r.isBrokenOff
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

// breakOff records that nothing more of the peer's answer is passed on.
func (r *handedOverRequest) breakOff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isBrokenOff = true
}

// end returns how the connection has ended, given the error with which the peer's bytes have ended.
func (r *handedOverRequest) end(peerErr error) handoverEnd {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.hasLeft:
		return endCallerLeft
	case r.answer == answerOfRouter:
		return endOverdue
	case r.answer == noAnswer && r.isDismissed:
		return endDismissed
	case r.answer == noAnswer && r.since.IsZero():
		return endUnused
	case r.answer == noAnswer:
		return endUnanswered
	case r.isBrokenOff:
		return endPartial
	case errors.Is(peerErr, io.EOF) && !r.isBroken, r.isAnswerComplete():
		return endAnswered
	default:
		return endPartial
	}
}

// isAnswerComplete reports whether the peer's answer is complete by what it says of its length. The caller must hold r.mu.
func (r *handedOverRequest) isAnswerComplete() bool {
	if r.answeredBytes > len(r.answered) {
		return false
	}
	reader := bytes.NewReader(r.answered)
	response, err := http.ReadResponse(bufio.NewReader(reader), nil)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode >= http.StatusOK && response.ContentLength >= 0
}

// isOverdue reports whether the deadline of the request has passed.
func (r *handedOverRequest) isOverdue(now time.Time, parse parseHead) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() || now.Sub(r.since) < minParseWait {
		return false
	}
	r.parseHead(parse)
	return !r.parsed.deadline.IsZero() && now.After(r.parsed.deadline.Add(overdueSlack))
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

// parseHandedOver returns what the first bytes of a request tell that a peer has, given the time from which its caller has waited. The deadline
// is zero if they hold no complete head of a request with a route.
func (g *Gateway) parseHandedOver(head []byte, since time.Time) requestHead {
	reader := bytes.NewReader(head)
	buffered := bufio.NewReader(reader)
	r, err := http.ReadRequest(buffered)
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
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
	parsed.id = info.ID
	if owner, known := table.CustomerByKey(info.APIKey); known {
		parsed.customer = owner.Name
	}
	if matched, found := table.Match(r.Host, r.URL.EscapedPath()); found {
		parsed.deadline = requestDeadline(matched, info, since)
	}
	return parsed
}
