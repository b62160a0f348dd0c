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
	"github.com/chicorydale/chicorydale/internal/refusal"
)

const (
	// wholeBytes is the size up to which an answer is read as a whole before it is passed on.
	wholeBytes = 256 << 10
	// pieceBytes is the size of the pieces in which a stream is passed on.
	pieceBytes = 4 << 10
	// drainBytes bounds what is read of an answer that is not passed on.
	drainBytes = 16 << 10
	// eventPause is how long a resumable stream may pause before another target goes on with it.
	eventPause = 1200 * time.Millisecond
)

// errNotTaken says that the caller does not take the head of an answer.
var errNotTaken = errors.New("the caller does not take the answer")

// errTooLong says that an answer does not fit into the buffer.
var errTooLong = errors.New("the answer is too long to be held")

// stored is an answer that was read as a whole.
type stored struct {
	status int
	header http.Header
	body   []byte
	target string
}

// drain reads the rest of an answer that is not passed on, so that its connection can be kept.
func drain(answer *forward.Response) {
	// An error shows again when the answer is closed, which then closes the connection.
	_, _ = io.CopyN(io.Discard, answer, drainBytes)
}

// whole reads an answer to its end and passes it on. It reports whether the request shall go to another target.
func (x *exchange) whole(decision dispatch.Decision, answer *forward.Response) (again bool) {
	x.gateway.scheduler.answered(decision.ID, answer.Info.Load)
	x.noteFirst()
	body, err := readBody(answer)
	switch {
	case errors.Is(err, errTooLong) && !promises(answer.StatusCode):
		x.long(decision, answer, body)
		return false
	case err != nil:
		return x.broken(decision, err)
	}
	answer.Close()
	read := &stored{status: answer.StatusCode, header: answer.Header, body: body, target: decision.Target.Name}
	if answer.StatusCode < http.StatusInternalServerError {
		x.finish(decision, dispatch.Done)
		x.pass(read)
		return false
	}
	x.finish(decision, dispatch.Failed)
	again = x.mayRepeat()
	x.logAttempt(decision, dispatch.Failed, &failedError{status: answer.StatusCode}, again)
	if again {
		x.gateway.metrics.Retried(metric.RetryFailed)
		x.failure = read
		return true
	}
	x.pass(read)
	return false
}

// long passes on an answer that is too long to be held, from the part on that was read. From its first byte on it cannot be
// replaced by the answer of another target.
func (x *exchange) long(decision dispatch.Decision, answer *forward.Response, read []byte) {
	if answer.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	if !x.begin(answer) {
		x.finish(decision, dispatch.Cancelled)
		x.left()
		return
	}
	source := &measured{Reader: io.MultiReader(bytes.NewReader(read), answer)}
	written, err := io.Copy(x.w, source)
	x.record.bytes, x.record.status = written, answer.StatusCode
	switch {
	case source.failed != nil:
		x.finish(decision, dispatch.Broken)
		x.logAttempt(decision, dispatch.Broken, source.failed, false)
		x.giveUp(refusal.New(refusal.TargetFailed, "the target broke off a long answer").WithUnknown())
	case err != nil:
		x.finish(decision, dispatch.Cancelled)
		x.left()
	default:
		x.finish(decision, dispatch.Done)
		x.logAnswered()
	}
}

// measured is a reader that keeps its error, so that it can be told from one of the writer.
type measured struct {
	io.Reader
	failed error
}

// Read reads and keeps an error other than the end.
func (m *measured) Read(p []byte) (int, error) {
	n, err := m.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		m.failed = err
	}
	return n, err
}

// readBody reads the whole body of an answer. If it is too long, the part that was read is returned too.
func readBody(answer *forward.Response) ([]byte, error) {
	if answer.ContentLength > wholeBytes {
		return nil, errTooLong
	}
	body, err := io.ReadAll(io.LimitReader(answer, wholeBytes+1))
	if err == nil && len(body) > wholeBytes {
		err = errTooLong
	}
	return body, err
}

// pass passes on an answer that was read as a whole.
func (x *exchange) pass(answer *stored) {
	if promises(answer.status) {
		// The target did not say that it did not run the request, so its status must not say so either.
		answer = &stored{status: http.StatusBadGateway, header: http.Header{}, target: answer.target}
	}
	x.copyHeader(answer.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	if err := x.control.SetWriteDeadline(x.end); err != nil {
		x.left()
		return
	}
	x.w.WriteHeader(answer.status)
	written, err := x.w.Write(answer.body)
	x.record.bytes += int64(written)
	x.record.status = answer.status
	if err != nil {
		x.left()
		return
	}
	x.logAnswered()
}

// promises tells whether a status says that a request did not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyHeader sets the headers of the answer to the caller.
func (x *exchange) copyHeader(from http.Header) {
	header := x.w.Header()
	for name, values := range x.gateway.outside.Codec.ResponseHeader(from) {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // The server must not guess a type.
	}
}

// stream passes on a stream as it arrives. It reports whether another target shall go on with it.
func (x *exchange) stream(decision dispatch.Decision, answer *forward.Response) (again bool) {
	piece := x.gateway.pieces.Get().(*[]byte) //nolint:forcetypeassert // The pool holds nothing else.
	defer x.gateway.pieces.Put(piece)
	load := answer.Info.Load
	resumable := x.route.MaxAttempts > 1 && x.route.Kind.Retryable()
	first := true
	for {
		if resumable {
			answer.SetReadDeadline(time.Now().Add(eventPause), x.end)
		}
		n, err := answer.Read(*piece)
		if n > 0 {
			if first {
				x.gateway.scheduler.answered(decision.ID, load)
				x.noteFirst()
				first = false
			} else {
				x.gateway.scheduler.heard(decision.ID)
			}
			if failed := x.forward((*piece)[:n], answer, resumable); failed != nil {
				return x.stopped(decision, failed)
			}
		}
		if errors.Is(err, io.EOF) {
			return x.ended(decision, answer, first)
		}
		if err != nil {
			return x.broken(decision, err)
		}
	}
}

// ended handles the end of a complete stream.
func (x *exchange) ended(decision dispatch.Decision, answer *forward.Response, empty bool) bool {
	if empty {
		x.gateway.scheduler.answered(decision.ID, answer.Info.Load)
	}
	x.finish(decision, dispatch.Done)
	if !x.began && !x.begin(answer) {
		x.left()
		return false
	}
	if rest := x.splitter.rest(); len(rest) > 0 {
		if _, err := x.w.Write(rest); err != nil {
			x.left()
			return false
		}
	}
	x.record.status = answer.StatusCode
	x.logAnswered()
	return false
}

// stopped ends an attempt whose stream could not be passed on: the caller does not take it, or the target began it anew. It
// reports whether the request shall go to another target.
func (x *exchange) stopped(decision dispatch.Decision, err error) bool {
	var restarted *restartedError
	if errors.As(err, &restarted) {
		return x.broken(decision, err)
	}
	x.finish(decision, dispatch.Cancelled)
	x.left()
	return false
}

// forward passes on a piece of a stream; of a resumable one only whole events. The error is a *restartedError or that of the
// caller's connection.
func (x *exchange) forward(piece []byte, answer *forward.Response, resumable bool) error {
	if resumable {
		var err error
		if piece, err = x.splitter.add(piece); err != nil || len(piece) == 0 {
			return err
		}
	}
	if !x.began && !x.begin(answer) {
		return errNotTaken
	}
	n, err := x.w.Write(piece)
	x.record.bytes += int64(n)
	return errors.Join(err, x.control.Flush())
}

// begin sends the head of a stream. It reports whether the caller takes it.
func (x *exchange) begin(answer *forward.Response) bool {
	x.began = true
	x.copyHeader(answer.Header)
	if answer.ContentLength >= 0 && !x.route.Kind.Retryable() {
		x.w.Header().Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	if x.control.SetWriteDeadline(x.end) != nil {
		return false
	}
	x.w.WriteHeader(answer.StatusCode)
	return true
}

// noteFirst notes the first byte of the answer.
func (x *exchange) noteFirst() {
	if x.record.first == 0 {
		x.record.first = time.Since(x.arrived)
		x.record.took = time.Since(x.record.sent)
		x.gateway.metrics.Observe(metric.FirstByte, x.record.first)
	}
}

// logAnswered logs the end of an answered request.
func (x *exchange) logAnswered() {
	took := time.Since(x.arrived)
	x.gateway.metrics.Observe(metric.Duration, took)
	event.RequestAnswered.Log(x.gateway.logger, x.call.ID, x.customer, x.name(), x.record.target, x.record.status,
		x.sent, x.record.waited.Milliseconds(), x.record.first.Milliseconds(), took.Milliseconds(), x.record.bytes,
		x.call.PromptTokens, x.record.missing, x.record.version, x.record.expected.Milliseconds(), x.record.took.Milliseconds())
}
