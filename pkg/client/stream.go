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

// eventStream is the media type of a streamed answer.
const eventStream = "text/event-stream"

// maxDoublings bounds the pause between two rounds to 16 pauses, with the default 1.6 s.
const maxDoublings = 4

// errSilent is the cause of a connection that was given up because nothing came.
var errSilent = errors.New("the router was silent for too long")

// Stream is a streamed answer. It must not be used by several goroutines at once.
type Stream struct {
	client   *Client
	context  context.Context
	entry    uint64
	reader   *reader
	close    func()
	alarm    *time.Timer
	token    string
	next     int64
	failures int
	resumes  int
	result   error
}

// ResumeToken returns the resume token, empty before the first Next.
func (s *Stream) ResumeToken() string { return s.token }

// ResumeCount returns how many times the stream went on at a router after a break.
func (s *Stream) ResumeCount() int { return s.resumes }

// Next waits for the next token. It returns io.EOF after the last token of a whole answer; every other error means that
// the answer is not whole: a *Refusal, a *InterruptedError, a *ProtocolError or the error of the context.
func (s *Stream) Next() (Token, error) {
	for s.result == nil {
		if s.reader == nil {
			s.result = s.resume()
			continue
		}
		read, err := s.read()
		var wrong *ProtocolError
		if errors.As(err, &wrong) {
			s.result = err
			continue
		}
		if err != nil {
			s.result = s.broke(err)
			continue
		}
		token, found, err := s.take(read)
		if found {
			return token, nil
		}
		s.result = err
	}
	s.release()
	return Token{}, s.result
}

// Close releases the stream. The router ends a call whose stream is closed before its end.
func (s *Stream) Close() {
	s.release()
	if s.result == nil {
		s.result = context.Canceled
	}
}

// open connects to a router and starts to read its answer.
func (s *Stream) open(send func(context.Context) (*http.Response, error)) error {
	connection, cancel := context.WithCancel(s.context)
	if s.token != "" && s.client.silence > 0 {
		alarm := time.AfterFunc(s.client.silence, cancel)
		defer alarm.Stop()
	}
	response, err := send(connection) //nolint:bodyclose // The function close closes it.
	if err != nil {
		cancel()
		return err
	}
	s.reader = newReader(response.Body, s.client.line)
	s.close = func() {
		cancel()
		_ = response.Body.Close() // The connection is given up in any case.
	}
	if s.client.silence > 0 {
		s.alarm = time.AfterFunc(s.client.silence, cancel)
		s.alarm.Stop()
	}
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || kind != eventStream {
		s.release()
		return protocol("the media type is %q, not %s", kind, eventStream)
	}
	return nil
}

// read waits for the next event, once the stream has started at most for the time of silence.
func (s *Stream) read() (message, error) {
	if s.alarm != nil && s.token != "" {
		s.alarm.Reset(s.client.silence)
		defer s.alarm.Stop()
	}
	return s.reader.next()
}

// release gives the connection up.
func (s *Stream) release() {
	if s.alarm != nil {
		s.alarm.Stop()
		s.alarm = nil
	}
	if s.close != nil {
		s.close()
	}
	s.reader, s.close = nil, nil
}

// broke handles the end of a connection before the end of the answer. It returns an error if the stream cannot go on.
func (s *Stream) broke(err error) error {
	if s.context.Err() != nil {
		return s.context.Err()
	}
	if errors.Is(err, context.Canceled) {
		err = errSilent
	}
	s.release()
	s.failures++
	if s.token == "" || s.failures > s.client.attempts {
		return final(err, false, s.next)
	}
	return nil
}

// resume connects to the next router at the next token. It returns an error if the stream cannot go on.
func (s *Stream) resume() error {
	// The pause doubles with each round, since a router may need seconds to start again.
	round := min(s.failures/len(s.client.addresses), maxDoublings)
	if err := s.client.wait(s.context, s.failures, s.client.pause<<round); err != nil {
		return err
	}
	s.entry++
	path := "/v1/streams/" + url.PathEscape(s.token) + "?from=" + strconv.FormatInt(s.next, 10)
	header := http.Header{"Accept": {eventStream}}
	err := s.open(func(connection context.Context) (*http.Response, error) {
		return s.client.send(connection, http.MethodGet, s.entry, path, header, nil)
	})
	if err == nil {
		s.resumes++
		return nil
	}
	var refusal *Refusal
	if errors.As(err, &refusal) && !refusal.elsewhere() && !refusal.passing() {
		return err
	}
	return s.broke(err)
}

// take handles one event. It returns a token if the event brought the next one, and an error if the stream has ended.
func (s *Stream) take(read message) (token Token, found bool, err error) {
	switch read.name {
	case "start":
		return Token{}, false, s.takeStart(read.data)
	case "token":
		return s.takeToken(read)
	case "end":
		return Token{}, false, s.takeEnd(read.data)
	case "error":
		refusal := &Refusal{}
		if err := json.Unmarshal(read.data, refusal); err != nil || refusal.Code == "" {
			return Token{}, false, protocol("an error event holds no refusal")
		}
		if refusal.elsewhere() && s.token != "" {
			return Token{}, false, s.broke(refusal)
		}
		return Token{}, false, refusal
	default:
		return Token{}, false, nil // Later versions may have further events.
	}
}

// takeStart handles the event that holds the resume token.
func (s *Stream) takeStart(data []byte) error {
	var start struct{ Token string }
	if err := json.Unmarshal(data, &start); err != nil || start.Token == "" {
		return protocol("a start event holds no token")
	}
	s.token = start.Token
	return nil
}

// takeToken handles a token. One that came before is left out; one that is too far on shows that the connection lost
// some, which are then asked for again.
func (s *Stream) takeToken(read message) (Token, bool, error) {
	var token Token
	if err := json.Unmarshal(read.data, &token); err != nil {
		return Token{}, false, protocol("a token event: %v", err)
	}
	if read.id != "" && read.id != strconv.FormatInt(token.Index, 10) {
		return Token{}, false, protocol("token %d has the event id %s", token.Index, read.id)
	}
	switch {
	case s.token == "":
		return Token{}, false, protocol("a token comes before the start event")
	case token.Index < s.next:
		return Token{}, false, nil
	case token.Index > s.next:
		return Token{}, false, s.broke(fmt.Errorf("token %d follows token %d", token.Index, s.next-1))
	}
	s.next++
	s.failures = 0
	return token, true, nil
}

// takeEnd handles the end event: the answer is whole only if all its tokens have come.
func (s *Stream) takeEnd(data []byte) error {
	var end struct{ Tokens *int64 }
	if err := json.Unmarshal(data, &end); err != nil || end.Tokens == nil {
		return protocol("an end event holds no count")
	}
	switch {
	case *end.Tokens > s.next:
		return s.broke(fmt.Errorf("the answer ends after %d of %d tokens", s.next, *end.Tokens))
	case *end.Tokens < s.next:
		return protocol("the end event counts %d tokens, but %d came", *end.Tokens, s.next)
	}
	return io.EOF
}
