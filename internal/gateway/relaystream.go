package gateway

import (
	"errors"
	"io"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/forward"
)

const (
	// handedOverReadPeriod is the time between reads of a stream whose caller another router has handed over. That router is short of processor
	// time, and passes each part on.
	handedOverReadPeriod = 150 * time.Millisecond
	// streamBufferBytes is the size of the buffer through which a stream is relayed.
	streamBufferBytes = 4 << 10
)

// relayStream relays a stream as it arrives. It reports whether another target should continue the stream.
func (x *exchange) relayStream(decision dispatch.Decision, response *forward.Response) (retry bool) {
	buffer := x.gateway.streamBuffers.Get().(*[]byte) //nolint:forcetypeassert // The pool holds nothing else.
	defer x.gateway.streamBuffers.Put(buffer)
	load := response.Info.Load
	resumable := x.route.MaxAttempts > 1 && x.route.Kind.Retryable()
	first := true
	progress := newStreamProgress(time.Now(), x.lastEventAt, x.route, resumable)
	silence := x.silenceCheck(decision, x.sentAttempts, stayTime{})
	isHandedOver, n := wasHandedOver(x.r.Context()), 0
	for {
		if isHandedOver && n > 0 && n < len(*buffer) {
			sleepUntil(x.r.Context(), time.Now().Add(handedOverReadPeriod))
		}
		silence.At = progress.resumeAt
		response.LimitRead(silence, progress.callerLeavesAt, x.answerDeadline)
		var err error
		n, err = response.Read(*buffer)
		if n > 0 {
			x.recordStreamData(decision, load, first)
			first = false
			if eventErr := x.events.add((*buffer)[:n]); eventErr != nil {
				return x.handleBrokenAttempt(decision, eventErr)
			}
			if forwardErr := x.forwardChunk((*buffer)[:n], response, resumable); forwardErr != nil {
				return x.handleForwardError(decision, forwardErr)
			}
			if x.events.endedEvents > progress.events {
				x.lastEventAt = time.Now()
				progress.recordEvents(x.lastEventAt, x.events.endedEvents)
			}
		}
		if errors.Is(err, io.EOF) {
			if err = x.checkStreamEnd(decision, response); err == nil {
				return x.finishStream(decision, response, first)
			}
		}
		if err != nil {
			return x.handleBrokenAttempt(decision, err)
		}
	}
}

// recordStreamData records that data of a stream has arrived.
func (x *exchange) recordStreamData(decision dispatch.Decision, load *dispatch.Load, first bool) {
	if !first {
		x.gateway.scheduler.dataReceived(decision.ID)
		return
	}
	x.firstDataAt = time.Now()
	x.gateway.scheduler.firstByteReceived(decision.ID, load)
	x.recordFirstByte()
}

// checkStreamEnd returns an error if a stream that has ended was broken off.
func (x *exchange) checkStreamEnd(decision dispatch.Decision, response *forward.Response) error {
	if err := x.events.checkEnd(response.Framing); err != nil {
		return err
	}
	return x.checkAnswerEnd(decision, response)
}

// finishStream completes the response after the target has sent its stream completely. empty reports whether the stream
// had no bytes. finishStream always returns false, because the request needs no other target.
func (x *exchange) finishStream(decision dispatch.Decision, response *forward.Response, empty bool) bool {
	if empty {
		x.gateway.scheduler.firstByteReceived(decision.ID, response.Info.Load)
	}
	x.finishAttempt(decision, dispatch.Done)
	x.recordAnswer(response.StatusCode)
	if !x.responseStarted {
		x.startResponse(response)
	}
	if err := x.writeRest(); err != nil {
		x.abortUnwritten(err)
		return false
	}
	x.stats.status = response.StatusCode
	x.logResponse()
	return false
}

// writeRest sends what is left of a stream that has ended.
func (x *exchange) writeRest() error {
	if rest := x.splitter.takeRest(); len(rest) > 0 {
		if _, err := x.w.Write(rest); err != nil {
			return err
		}
	}
	return x.controller.Flush()
}

// handleForwardError ends an attempt whose stream could not be forwarded, because the caller is gone or because the target
// restarted the stream instead of continuing it. It reports whether the request should be sent to another target.
func (x *exchange) handleForwardError(decision dispatch.Decision, err error) bool {
	var restarted *streamRestartedError
	if errors.As(err, &restarted) {
		return x.handleBrokenAttempt(decision, err)
	}
	x.finishAttempt(decision, dispatch.Cancelled)
	x.abortUnwritten(err)
	return false
}

// forwardChunk sends a chunk of a stream to the caller. Of a resumable stream, it sends only complete events and keeps the
// rest. It returns a *streamRestartedError or an error of the caller's connection.
func (x *exchange) forwardChunk(chunk []byte, response *forward.Response, resumable bool) error {
	if resumable {
		var err error
		if chunk, err = x.splitter.add(chunk); err != nil || len(chunk) == 0 {
			return err
		}
	}
	if !x.responseStarted {
		x.startResponse(response)
	}
	n, err := x.w.Write(chunk)
	x.stats.bodyBytes += int64(n)
	return errors.Join(err, x.controller.Flush())
}
