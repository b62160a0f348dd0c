package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/chicorydale/chicorydale/internal/event"
)

// handoverEnd tells how a handed over connection has ended.
type handoverEnd int

const (
	// endAnswered means that the peer's answer was passed on as it ended, endPartial that a part of it was passed on.
	endAnswered handoverEnd = iota
	endPartial
	// endOverdue means that this router has answered at the deadline of the request.
	endOverdue
	// endUnanswered means that the peer has sent no byte of an answer, endUnused that nothing of a request had arrived either.
	endUnanswered
	endUnused
	// endCallerLeft means that the caller has left, endDismissed that this router ended a connection without a request.
	endCallerLeft
	endDismissed
)

// finish ends the connection of the caller after the peer has ended with the given error.
func (p *handover) finish(cause error) {
	counts := &p.handovers.counts
	end := p.request.end(cause)
	if end == endUnanswered && isDisconnected(p.caller) {
		end = endCallerLeft
	}
	switch end {
	case endAnswered:
		counts.answeredByPeer.Add(1)
		lingerClose(p.caller)
	case endOverdue:
		counts.answeredByRouter.Add(1)
		lingerClose(p.caller)
	case endUnanswered:
		counts.answeredByRouter.Add(1)
		p.answerUnanswered(cause)
		lingerClose(p.caller)
	case endPartial:
		counts.brokenOff.Add(1)
		event.HandoverUnanswered.Log(p.handovers.logger, p.request.requestID(p.handovers.parse), p.peer, p.request.waited().Milliseconds(), 0, cause)
		_ = p.caller.SetLinger(0) // If this fails, the connection ends without a reset.
		_ = p.caller.Close()
	case endUnused:
		_ = p.caller.SetReadDeadline(time.Time{}) // On a broken connection, the next read fails as well.
		p.keep()
	case endCallerLeft, endDismissed:
		_ = p.caller.Close()
	}
}

// answerUnanswered answers a request that the peer has not answered. It cannot have run if the peer has not got all of it.
func (p *handover) answerUnanswered(cause error) {
	status := http.StatusBadGateway
	answer := unknownAnswer
	if p.request.isIncomplete(p.handovers.parse) {
		status = http.StatusServiceUnavailable
		answer = unreadRefusal(p.handovers.retryDelay(time.Now(), time.Time{}))
	}
	if _, err := p.caller.Write([]byte(answer)); err != nil {
		status = 0
	}
	p.handovers.peerFailed(p.peer, cause)
	event.HandoverUnanswered.Log(p.handovers.logger, p.request.requestID(p.handovers.parse), p.peer, p.request.waited().Milliseconds(), status, cause)
}

// unknownAnswer is the answer to a request that may have run.
const unknownAnswer = "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// overdueAnswer is the answer to a request that the peer has not answered by its deadline. It may have run.
const overdueAnswer = "HTTP/1.1 504 Gateway Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// errOverdue says that a peer has not answered a request by its deadline.
var errOverdue = errors.New("the peer has not answered a request by its deadline")

// endIfOverdue ends the request if the peer has not answered it completely by its deadline.
func (p *handover) endIfOverdue(now time.Time) {
	if p.openTarget() == nil || !p.request.isOverdue(now, p.handovers.parse) {
		return
	}
	p.handovers.peerFailed(p.peer, errOverdue)
	status := 0
	if p.endWith(overdueAnswer) {
		status = http.StatusGatewayTimeout
	}
	event.HandoverOverdue.Log(p.handovers.logger, p.request.requestID(p.handovers.parse), p.peer, p.request.waited().Milliseconds(), status)
}

// endOpen ends the request if it has arrived and the peer has not answered it completely.
func (p *handover) endOpen() {
	if p.openTarget() != nil && p.request.waited() > 0 {
		p.endWith(unknownAnswer)
	}
}

// endWith ends a request that a peer has: with an answer if the peer has sent nothing. It reports whether that was sent.
func (p *handover) endWith(answer string) (isSent bool) {
	if p.request.beginAnswer(answerOfRouter) {
		_, err := p.caller.Write([]byte(answer))
		isSent = err == nil
	} else {
		p.request.breakOff()
		_ = p.caller.SetWriteDeadline(time.Now()) // Ends a write to a caller that does not read.
	}
	_ = p.openTarget().Close() // run ends the connection of the caller.
	return isSent
}
