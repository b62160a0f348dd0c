package gateway

import (
	"errors"
	"io"
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
	// endOverdue means that the deadline of the request has passed without an answer.
	endOverdue
	// endUnanswered means that the peer has sent no byte of an answer, endUnused that nothing of a request had arrived either.
	endUnanswered
	endUnused
	// endCallerLeft means that the caller has left, endDismissed that this router ends a connection without a request.
	endCallerLeft
	endDismissed
)

// Answers of a router to requests that a peer has not answered. They may have run.
const (
	unknownAnswer = "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	overdueAnswer = "HTTP/1.1 504 Gateway Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// errOverdue says that a peer has not answered a request by its deadline, errRouterEnds that the process of this router is about to end.
var (
	errOverdue    = errors.New("the peer has not answered a request by its deadline")
	errRouterEnds = errors.New("the router ends before the peer has answered")
)

// finish ends the connection of the caller after the peer has ended with the given error. Nothing else writes or closes it then.
func (p *handover) finish(cause error) {
	counts := &p.handovers.counts
	end := p.request.end(cause)
	if (end == endUnanswered || end == endOverdue) && isDisconnected(p.caller.TCPConn) {
		end = endCallerLeft
	}
	switch end {
	case endAnswered:
		counts.answeredByPeer.Add(1)
		lingerClose(p.caller.TCPConn)
	case endOverdue:
		counts.answeredByRouter.Add(1)
		status := p.answer(http.StatusGatewayTimeout, overdueAnswer)
		event.HandoverOverdue.Log(p.handovers.logger, p.requestID(), p.peer, p.request.waited().Milliseconds(), status)
		lingerClose(p.caller.TCPConn)
	case endUnanswered:
		counts.answeredByRouter.Add(1)
		p.answerUnanswered(cause)
		lingerClose(p.caller.TCPConn)
	case endPartial:
		counts.brokenOff.Add(1)
		p.logUnanswered(0, cause)
		_ = p.caller.SetLinger(0) // If this fails, the connection ends without a reset.
		_ = p.caller.Close()
	case endUnused:
		p.keep()
	case endDismissed:
		p.endDismissed()
	case endCallerLeft:
		_ = p.caller.Close()
	}
}

// answerUnanswered answers a request that the peer has not answered. It cannot have run if the peer has not got all of it.
func (p *handover) answerUnanswered(cause error) {
	if !p.request.isIncomplete(p.handovers.parse) {
		p.logUnanswered(p.answer(http.StatusBadGateway, unknownAnswer), cause)
		return
	}
	retryDelay := p.handovers.retryDelay(time.Now(), time.Time{})
	p.logUnanswered(p.answer(http.StatusServiceUnavailable, unreadRefusal(retryDelay)), cause)
}

// answer sends an answer of this router. It returns the status, 0 if the answer could not be sent.
func (p *handover) answer(status int, answer string) int {
	_ = p.caller.SetWriteDeadline(time.Time{}) // On a broken connection, the write fails as well.
	if _, err := p.caller.Write([]byte(answer)); err != nil {
		return 0
	}
	return status
}

// logUnanswered logs a request to which the peer has sent no answer, or a part of one. status is what the caller got in its place. A peer that ends
// a connection on which the request is not complete has not failed.
func (p *handover) logUnanswered(status int, cause error) {
	if p.request.isGivenUp() {
		cause = errRouterEnds
	} else if !errors.Is(cause, io.EOF) || !p.request.isIncomplete(p.handovers.parse) {
		p.handovers.peerFailed(p.peer, cause)
	}
	event.HandoverUnanswered.Log(p.handovers.logger, p.requestID(), p.peer, p.request.waited().Milliseconds(), status, cause)
}

// requestID returns the ID of the request, and "" if that is not known.
func (p *handover) requestID() string { return p.request.requestID(p.handovers.parse) }

// endDismissed closes a connection without a request. One that has arrived after all is left to this router's own server.
func (p *handover) endDismissed() {
	if hasData(p.caller.TCPConn) {
		p.keep()
		return
	}
	_ = p.caller.Close()
}

// endIfOverdue ends the request if the peer has not answered it completely by its deadline.
func (p *handover) endIfOverdue(now time.Time) {
	if p.openTarget() != nil && p.request.isOverdue(now, p.handovers.parse) && p.giveUp(requestOverdue) {
		p.handovers.peerFailed(p.peer, errOverdue)
	}
}

// giveUp makes run end a request that the peer has not answered completely. It reports whether it does.
func (p *handover) giveUp(reason giveUpReason) bool {
	target := p.openTarget()
	if target == nil || !p.request.giveUp(reason, p.caller.TCPConn) {
		return false
	}
	_ = target.Close()
	return true
}
