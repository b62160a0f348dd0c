package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/forward"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/overload"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/route"
)

const (
	// maxBufferedBytes is the maximum size of a response body that is read completely before it is sent to the caller.
	maxBufferedBytes = 256 << 10
	// firstUnbufferedBytes is the size of the buffer for the first bytes of a response that is not buffered completely. It takes little memory, since
	// there may be none for the response.
	firstUnbufferedBytes = 1 << 10
	// maxDiscardedBytes limits how much of an unused response body is read.
	maxDiscardedBytes = 16 << 10
)

// errResponseTooLarge says that a response body is larger than maxBufferedBytes.
var errResponseTooLarge = errors.New("the response is too large to buffer")

// errNoAnswerMemory says that there is no memory for the rest of a response body.
var errNoAnswerMemory = errors.New("there is no memory to buffer the response")

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status     int
	header     http.Header
	body       []byte
	targetName string
}

// discardRest reads the rest of a response that is not relayed, so that its connection can be reused.
func discardRest(response *forward.Response) {
	// After an error, closing the response closes the connection, so the error needs no handling here.
	_, _ = io.CopyN(io.Discard, response, maxDiscardedBytes)
}

// relayBuffered reads a response completely and sends it to the caller. It reports whether the request should be sent to
// another target.
func (x *exchange) relayBuffered(decision dispatch.Decision, response *forward.Response) (retry bool) {
	x.gateway.scheduler.firstByteReceived(decision.ID, response.Info.Load)
	x.recordFirstByte()
	body, err := bufferBody(response, response.ContentLength, x.openBodyMemory())
	if err == nil {
		err = x.checkAnswerEnd(decision, response)
	}
	switch {
	case errors.Is(err, errNoAnswerMemory) && x.retryFailure(decision, response.StatusCode):
		return true
	case isNotBuffered(err) && !claimsNotRun(response.StatusCode):
		return x.relayUnbuffered(decision, response, body)
	case err != nil:
		return x.handleBrokenAttempt(decision, err)
	}
	response.Close()
	buffered := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body, targetName: decision.Target.Name}
	if response.StatusCode < http.StatusInternalServerError {
		x.finishAttempt(decision, dispatch.Done)
		x.recordAnswer(response.StatusCode)
		x.writeBuffered(buffered)
		return false
	}
	if x.retryFailure(decision, response.StatusCode) {
		x.failedResponse = buffered
		return true
	}
	x.finishAttempt(decision, dispatch.Failed)
	x.logFailedAttempt(decision, dispatch.Failed, &serverError{status: response.StatusCode}, false)
	x.writeBuffered(buffered)
	return false
}

// openBodyMemory returns the memory of the request's body and its answers.
func (x *exchange) openBodyMemory() *overload.BodyReservation {
	if x.bodyMemory == nil {
		x.bodyMemory = x.gateway.bodies.Open(x.customer)
	}
	return x.bodyMemory
}

// retryFailure reports whether the request should be sent to another target because the status of this one is a server error. If so, it ends
// the attempt.
func (x *exchange) retryFailure(decision dispatch.Decision, status int) bool {
	if status < http.StatusInternalServerError || !x.takeRetry() {
		return false
	}
	x.finishAttempt(decision, dispatch.Failed)
	x.logFailedAttempt(decision, dispatch.Failed, &serverError{status: status}, true)
	x.gateway.metrics.CountRetry(metric.RetryFailed)
	return true
}

// relayUnbuffered relays a response that is not buffered completely, starting with the bytes that were. Once its head has been sent, it cannot be
// replaced by the response of another target, so the first bytes of its body are awaited before. It reports whether the request should be sent to
// another target.
func (x *exchange) relayUnbuffered(decision dispatch.Decision, response *forward.Response, buffered []byte) (retry bool) {
	if len(buffered) == 0 {
		first := make([]byte, firstUnbufferedBytes)
		n, err := response.Read(first)
		if n == 0 && err != nil && !errors.Is(err, io.EOF) {
			return x.handleBrokenAttempt(decision, err)
		}
		buffered = first[:n]
	}
	if response.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	x.startResponse(response)
	source := &errorRecorder{Reader: io.MultiReader(bytes.NewReader(buffered), response)}
	written, err := int64(0), x.controller.Flush()
	if err == nil {
		written, err = io.Copy(x.w, source)
	}
	x.stats.bodyBytes, x.stats.status = written, response.StatusCode
	if err == nil {
		source.err = x.checkAnswerEnd(decision, response)
	}
	if err == nil && source.err == nil {
		err = x.controller.Flush()
	}
	switch {
	case source.err != nil:
		x.finishAttempt(decision, dispatch.Broken)
		x.logFailedAttempt(decision, dispatch.Broken, source.err, false)
		x.failRequest(refusal.New(refusal.TargetFailed, "the target broke off a long answer").WithExecutionUnknown())
	case err != nil:
		x.finishAttempt(decision, dispatch.Cancelled)
		x.abortUnwritten(err)
	default:
		x.finishAttempt(decision, dispatch.Done)
		x.recordAnswer(response.StatusCode)
		x.logResponse()
	}
	return false
}

// recordAnswer records that a target has answered the request completely. A status other than success does not show that the target
// has worked on the request, and an end that a crash may have caused does not show that the answer is complete.
func (x *exchange) recordAnswer(status int) {
	if status/100 == 2 && !x.endUncertain {
		x.gateway.suspects.recordAnswer(x.fingerprints)
	}
}

// errorRecorder is a reader that records its error, so that io.Copy's read errors can be told from its write errors.
type errorRecorder struct {
	io.Reader
	err error
}

// Read reads and records an error other than io.EOF.
func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// bufferBody reads the body of a response completely. If it is larger than maxBufferedBytes or there is no memory for it, it returns
// errResponseTooLarge or errNoAnswerMemory with the bytes that were read. The length is negative if the response does not tell it.
func bufferBody(source io.Reader, length int64, memory *overload.BodyReservation) ([]byte, error) {
	if length > maxBufferedBytes {
		return nil, errResponseTooLarge
	}
	most := int64(maxBufferedBytes + 1)
	if length >= 0 {
		most = length + 1 // The additional byte makes the last read see io.EOF.
	}
	source = io.LimitReader(source, maxBufferedBytes+1)
	var body []byte
	for {
		if len(body) == cap(body) && !growAnswer(&body, most, memory) {
			return body, errNoAnswerMemory
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxBufferedBytes:
			return body, errResponseTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// growAnswer replaces a full buffer by a larger one with the same content, of the given size at most. It reports false if there is no memory.
func growAnswer(buffer *[]byte, most int64, memory *overload.BodyReservation) bool {
	size := min(max(2*int64(cap(*buffer)), firstBodyBytes), most)
	if !memory.GrowAnswer(size - int64(cap(*buffer))) {
		return false
	}
	*buffer = append(make([]byte, 0, size), *buffer...)
	return true
}

// isNotBuffered reports whether a response was not read completely because it would take too much memory.
func isNotBuffered(err error) bool {
	return errors.Is(err, errResponseTooLarge) || errors.Is(err, errNoAnswerMemory)
}

// writeBuffered sends a buffered response to the caller.
func (x *exchange) writeBuffered(response *bufferedResponse) {
	if claimsNotRun(response.status) {
		// The target did not state that it has not run the request, so the caller must not get a status that implies it.
		response = &bufferedResponse{status: http.StatusBadGateway, header: http.Header{}, targetName: response.targetName}
	}
	x.setResponseHeader(response.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	x.writeHead(response.status)
	written, err := x.w.Write(response.body)
	x.stats.bodyBytes += int64(written)
	x.stats.status = response.status
	if err = errors.Join(err, x.controller.Flush()); err != nil {
		x.abortUnwritten(err)
		return
	}
	x.logResponse()
}

// claimsNotRun reports whether a status implies that the request was not run.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// setResponseHeader sets the headers of the response to the caller, given those of the target.
func (x *exchange) setResponseHeader(from http.Header) {
	header := x.w.Header()
	for name, values := range x.gateway.adapters.Codec.ResponseHeader(from) {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // Keeps net/http from guessing a type.
	}
}

// checkAnswerEnd returns an error if an answer that has ended was broken off by a crash of its target. Only the end of a connection can
// be due to a crash.
func (x *exchange) checkAnswerEnd(decision dispatch.Decision, response *forward.Response) error {
	if response.Framing != forward.FramedByConnection || response.StatusCode/100 != 2 {
		return nil
	}
	alive, err := x.gateway.crashes.checkEnd(x.r.Context(), decision.Target)
	x.endUncertain = !alive
	return err
}

// startResponse sends the head of a response.
func (x *exchange) startResponse(response *forward.Response) {
	x.responseStarted = true
	if x.route.Kind == route.ResumableStream {
		x.beginStream()
	}
	x.setResponseHeader(response.Header)
	if response.ContentLength >= 0 && !x.route.Kind.Retryable() {
		x.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	x.writeHead(response.StatusCode)
}

// recordFirstByte records the time of the first byte of a response. Later calls have no effect.
func (x *exchange) recordFirstByte() {
	if x.stats.timeToFirstByte == 0 {
		x.stats.timeToFirstByte = time.Since(x.arrivedAt)
		x.stats.targetLatency = time.Since(x.stats.decidedAt)
		x.gateway.metrics.ObserveDuration(metric.FirstByte, x.stats.timeToFirstByte)
	}
}

// logResponse logs a request whose response was sent completely.
func (x *exchange) logResponse() {
	duration := time.Since(x.arrivedAt)
	x.gateway.metrics.ObserveDuration(metric.RequestDuration, duration)
	event.RequestAnswered.Log(x.gateway.logger, x.info.ID, x.customer, x.routeName(), x.stats.targetName, x.stats.status,
		x.sentAttempts, x.stats.queueTime.Milliseconds(), x.stats.timeToFirstByte.Milliseconds(), duration.Milliseconds(),
		x.stats.bodyBytes, x.info.PromptTokens, x.stats.uncachedTokens, x.stats.configVersion,
		x.stats.expectedTargetLatency.Milliseconds(), x.stats.targetLatency.Milliseconds(), string(x.framing), x.events.inside(), x.stats.targetBuild, x.info.ResumedID,
		x.stats.fetchedTokens)
}
