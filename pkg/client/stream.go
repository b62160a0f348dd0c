package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// eventStream is the media type of a streamed response.
const eventStream = "text/event-stream"

// maxDelayDoublings limits the delay between two rounds to 16 times the retry delay, 1.6 s by default.
const maxDelayDoublings = 4

// errIdleTimeout is the cause of an interruption after a stream delivered no event for the idle timeout.
var errIdleTimeout = errors.New("the router sent no event within the idle timeout")

// Stream is a streamed response that is resumed at another router if its connection is lost. It is not safe for concurrent
// use.
type Stream struct {
	client        *Client
	ctx           context.Context
	routerIndex   uint64
	events        *eventReader
	closeResponse func()
	idleTimer     *time.Timer
	resumeToken   string
	nextIndex     int64
	// failures counts the connections lost or refused since the last new token.
	failures    int
	resumeCount int
	// finalErr is what Next returns from now on, nil while the stream can continue.
	finalErr error
}

// ResumeToken returns the token that identifies the stream for resumption, empty before the first call of Next.
func (s *Stream) ResumeToken() string { return s.resumeToken }

// ResumeCount returns how many times the stream was resumed after an interruption.
func (s *Stream) ResumeCount() int { return s.resumeCount }

// Next waits for the next token. It returns io.EOF after the last token of a complete response. Every other error means
// that the response is incomplete: a *Refusal, an *InterruptedError, a *ProtocolError or the error of the context. After
// an error, it returns the same error again.
func (s *Stream) Next() (Token, error) {
	for s.finalErr == nil {
		if s.events == nil {
			s.finalErr = s.resume()
			continue
		}
		event, err := s.readEvent()
		var protocolErr *ProtocolError
		if errors.As(err, &protocolErr) {
			s.finalErr = err
			continue
		}
		if err != nil {
			s.finalErr = s.handleDisconnect(err)
			continue
		}
		token, found, err := s.handleEvent(event)
		if found {
			return token, nil
		}
		s.finalErr = err
	}
	s.disconnect()
	return Token{}, s.finalErr
}

// Close closes the connection. The router cancels a call whose stream is closed before its end.
func (s *Stream) Close() {
	s.disconnect()
	if s.finalErr == nil {
		s.finalErr = context.Canceled
	}
}

// open sends a request with send and prepares to read the events of the response. If a stream is being resumed, the idle
// timeout also covers the wait for the response.
func (s *Stream) open(send func(context.Context) (*http.Response, error)) error {
	connCtx, cancel := context.WithCancel(s.ctx)
	if s.resumeToken != "" && s.client.idleTimeout > 0 {
		openTimer := time.AfterFunc(s.client.idleTimeout, cancel)
		defer openTimer.Stop()
	}
	response, err := send(connCtx) //nolint:bodyclose // The function closeResponse closes it.
	if err != nil {
		cancel()
		return err
	}
	s.events = newEventReader(response.Body, s.client.maxLineBytes)
	s.closeResponse = func() {
		cancel()
		_ = response.Body.Close() // The connection is discarded in any case.
	}
	if s.client.idleTimeout > 0 {
		s.idleTimer = time.AfterFunc(s.client.idleTimeout, cancel)
		s.idleTimer.Stop()
	}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || mediaType != eventStream {
		s.disconnect()
		return protocolErrorf("the content type is %q instead of %s", mediaType, eventStream)
	}
	return nil
}

// readEvent waits for the next event. The idle timeout applies only after the start event, because a request may wait for a
// slot before it.
func (s *Stream) readEvent() (sseEvent, error) {
	if s.idleTimer != nil && s.resumeToken != "" {
		s.idleTimer.Reset(s.client.idleTimeout)
		defer s.idleTimer.Stop()
	}
	return s.events.next()
}

// disconnect closes the connection, if there is one, and stops its idle timer.
func (s *Stream) disconnect() {
	if s.idleTimer != nil {
		s.idleTimer.Stop()
		s.idleTimer = nil
	}
	if s.closeResponse != nil {
		s.closeResponse()
	}
	s.events, s.closeResponse = nil, nil
}

// handleDisconnect handles the loss of a connection before the end of the response. It returns an error if the stream
// cannot be resumed, and nil if Next may resume it.
func (s *Stream) handleDisconnect(err error) error {
	if s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	if errors.Is(err, context.Canceled) {
		err = errIdleTimeout
	}
	s.disconnect()
	s.failures++
	if s.resumeToken == "" || s.failures > s.client.maxAttempts {
		return callerError(err, false, s.nextIndex)
	}
	return nil
}

// resume connects to the next router and requests the tokens from nextIndex on. It returns an error if the stream cannot be
// resumed, and nil if it was or if Next may try again.
func (s *Stream) resume() error {
	// The delay doubles with each round because a router may need seconds to restart.
	doublings := min(s.failures/len(s.client.addresses), maxDelayDoublings)
	if err := s.client.waitAfterRound(s.ctx, s.failures, s.client.retryDelay<<doublings); err != nil {
		return err
	}
	s.routerIndex++
	path := "/v1/streams/" + url.PathEscape(s.resumeToken) + "?from=" + strconv.FormatInt(s.nextIndex, 10)
	header := http.Header{"Accept": {eventStream}}
	err := s.open(func(connCtx context.Context) (*http.Response, error) {
		return s.client.send(connCtx, http.MethodGet, s.routerIndex, path, header, nil)
	})
	if err == nil {
		s.resumeCount++
		return nil
	}
	var refusal *Refusal
	if errors.As(err, &refusal) && !refusal.isRouterSpecific() && !refusal.isTransient() {
		return err
	}
	return s.handleDisconnect(err)
}

// handleEvent handles one event. It returns the token if the event holds the next one, and an error if the stream has
// ended.
func (s *Stream) handleEvent(event sseEvent) (token Token, found bool, err error) {
	switch event.eventType {
	case "start":
		return Token{}, false, s.handleStart(event.data)
	case "token":
		return s.handleToken(event)
	case "end":
		return Token{}, false, s.handleEnd(event.data)
	case "error":
		refusal := &Refusal{}
		if err := json.Unmarshal(event.data, refusal); err != nil || refusal.Code == "" {
			return Token{}, false, protocolErrorf("error event without a refusal")
		}
		if refusal.isRouterSpecific() && s.resumeToken != "" {
			return Token{}, false, s.handleDisconnect(refusal)
		}
		return Token{}, false, refusal
	default:
		return Token{}, false, nil // Later versions of the protocol may add events.
	}
}

// handleStart handles the start event, which holds the resume token.
func (s *Stream) handleStart(data []byte) error {
	var start struct{ Token string }
	if err := json.Unmarshal(data, &start); err != nil || start.Token == "" {
		return protocolErrorf("start event without a resume token")
	}
	s.resumeToken = start.Token
	return nil
}

// handleToken handles a token event. It skips a token that was already delivered. A token beyond nextIndex means that
// tokens were lost; the connection is closed and the stream is resumed from nextIndex.
func (s *Stream) handleToken(event sseEvent) (Token, bool, error) {
	var token Token
	if err := json.Unmarshal(event.data, &token); err != nil {
		return Token{}, false, protocolErrorf("token event cannot be decoded: %v", err)
	}
	if event.id != "" && event.id != strconv.FormatInt(token.Index, 10) {
		return Token{}, false, protocolErrorf("token %d has the event id %s", token.Index, event.id)
	}
	switch {
	case s.resumeToken == "":
		return Token{}, false, protocolErrorf("token event before the start event")
	case token.Index < s.nextIndex:
		return Token{}, false, nil
	case token.Index > s.nextIndex:
		return Token{}, false, s.handleDisconnect(fmt.Errorf("token %d follows token %d", token.Index, s.nextIndex-1))
	}
	s.nextIndex++
	s.failures = 0
	return token, true, nil
}

// handleEnd handles the end event, which holds the number of tokens of the response. It returns io.EOF if all of them were
// received.
func (s *Stream) handleEnd(data []byte) error {
	var end struct{ Tokens *int64 }
	if err := json.Unmarshal(data, &end); err != nil || end.Tokens == nil {
		return protocolErrorf("end event without a token count")
	}
	switch {
	case *end.Tokens > s.nextIndex:
		return s.handleDisconnect(fmt.Errorf("the response ended after %d of %d tokens", s.nextIndex, *end.Tokens))
	case *end.Tokens < s.nextIndex:
		return protocolErrorf("the end event counts %d tokens, but %d were received", *end.Tokens, s.nextIndex)
	}
	return io.EOF
}
