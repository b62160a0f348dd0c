package client_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/pkg/client"
)

// generate calls a model through the routers at addresses and returns the texts of its tokens and the final error.
func generate(t *testing.T, addresses []string, options ...client.Option) ([]string, error) {
	t.Helper()
	fleetClient, err := client.New(addresses, "key", append([]client.Option{client.WithRetryDelay(0)}, options...)...)
	qt.Assert(t, err, qt.IsNil)
	stream, err := fleetClient.Generate(t.Context(), "m", client.GenerateRequest{Class: "quick", Prompt: "p"})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var texts []string
	for {
		token, err := stream.Next()
		if err != nil {
			return texts, err
		}
		texts = append(texts, token.Text)
	}
}

// allTexts are the texts of the tokens of eventsFrom.
var allTexts = []string{"word0 ", "word1 ", "word2 ", "word3 "}

// TestResumeAfterCutAtAnyByte guards against a lost or duplicated token after the connection was cut at any byte of a
// response. Before the start event, which holds the resume token, the call must fail.
func TestResumeAfterCutAtAnyByte(t *testing.T) {
	response := eventsFrom(0)
	startEnd := strings.Index(response, "\r\n\r\n") + len("\r\n\r\n")
	for cut := range len(response) {
		body := func(from int64, _ bool) string { return eventsFrom(from) }
		first, second := &fakeRouter{cutAt: cut, body: body}, &fakeRouter{cutAt: -1, body: body}
		texts, err := generate(t, []string{first.start(t), second.start(t)})
		if cut < startEnd {
			var interrupted *client.InterruptedError
			qt.Assert(t, errors.As(err, &interrupted), qt.IsTrue, qt.Commentf("cut at byte %d: %v", cut, err))
			qt.Assert(t, second.requestURIs, qt.HasLen, 0)
			continue
		}
		qt.Assert(t, err, qt.Equals, io.EOF, qt.Commentf("cut at byte %d", cut))
		qt.Assert(t, texts, qt.DeepEquals, allTexts, qt.Commentf("cut at byte %d", cut))
		qt.Assert(t, second.requestURIs, qt.HasLen, 1)
		qt.Assert(t, strings.HasPrefix(second.requestURIs[0], "/v1/streams/t%2F1?from="), qt.IsTrue)
	}
}

// TestInvalidStreams guards against a response that counts as complete although tokens are missing, duplicated or
// malformed.
func TestInvalidStreams(t *testing.T) {
	replaceOnFirst := func(old, replacement string) func(int64, bool) string {
		return func(from int64, resumed bool) string {
			if resumed {
				return eventsFrom(from)
			}
			return strings.Replace(eventsFrom(from), old, replacement, 1)
		}
	}
	tokenTwo := eventsFrom(0)[strings.Index(eventsFrom(0), "event: token\nid: 2"):strings.Index(eventsFrom(0), "event: token\nid: 3")]
	tests := []struct {
		name    string
		body    func(int64, bool) string
		problem string
	}{
		{"a gap is requested again", replaceOnFirst(tokenTwo, ""), ""},
		{"a duplicated token is skipped", replaceOnFirst(tokenTwo, tokenTwo+tokenTwo), ""},
		{"tokens after an early end are requested again", replaceOnFirst(tokenTwo, "event: end\ndata: {\"tokens\":4}\n\n"), ""},
		{
			"a router that shuts down",
			replaceOnFirst(tokenTwo, "event: error\ndata: {\"code\":\"shutting_down\",\"ran\":\"unknown\"}\n\n"), "",
		},
		{
			"an end event that counts too few tokens", replaceOnFirst(`{"tokens":4}`, `{"tokens":3}`),
			"the end event counts 3 tokens, but 4 were received",
		},
		{"an end event without a count", replaceOnFirst(`{"tokens":4}`, `{}`), "end event without a token count"},
		{"an event id that differs from the index", replaceOnFirst("id: 2", "id: 3"), "token 2 has the event id 3"},
		{"no start event", replaceOnFirst("event: start", "event: other"), "token event before the start event"},
		{"a malformed token", replaceOnFirst(`"index":2`, `"index":`), "token event cannot be decoded: .*"},
		{"an error event without a refusal", replaceOnFirst(tokenTwo, "event: error\ndata: {}\n\n"), "error event without a refusal"},
		{"a long line", replaceOnFirst("word2", strings.Repeat("w", 201)), "a line exceeds 200 bytes"},
		{
			"a long event", replaceOnFirst(tokenTwo, strings.Repeat("data: "+strings.Repeat("x", 99)+"\n", 3)+"\n"),
			"an event exceeds 200 bytes",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			router := &fakeRouter{cutAt: -1, body: test.body}
			texts, err := generate(t, []string{router.start(t)}, client.WithMaxLineBytes(200))
			if test.problem == "" {
				qt.Assert(t, err, qt.Equals, io.EOF)
				qt.Assert(t, texts, qt.DeepEquals, allTexts)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, "the router sent an invalid response: .*"+test.problem)
		})
	}
}

// TestMaxAttemptsWithoutProgress guards against a stream that is resumed forever although no new token arrives.
func TestMaxAttemptsWithoutProgress(t *testing.T) {
	router := &fakeRouter{cutAt: -1, body: func(int64, bool) string { return strings.Split(eventsFrom(0), "event: token\nid: 1")[0] }}
	texts, err := generate(t, []string{router.start(t)}, client.WithMaxAttempts(3))
	var interrupted *client.InterruptedError
	qt.Assert(t, errors.As(err, &interrupted), qt.IsTrue)
	qt.Assert(t, interrupted.NextIndex, qt.Equals, int64(1))
	qt.Assert(t, texts, qt.DeepEquals, allTexts[:1])
	qt.Assert(t, router.requestURIs, qt.HasLen, 4)
}

// TestIdleTimeout guards against a stream that waits forever for a router that has lost its network, and against one that
// abandons a router while its request waits for a slot, which is before the start event.
func TestIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := func(from int64, _ bool) string { return eventsFrom(from) }
		first, second := &fakeRouter{cutAt: 150, body: body, hangAtCut: true, startDelay: time.Hour}, &fakeRouter{cutAt: -1, body: body}
		network := pipeTransport{"10.0.0.1:1": first, "10.0.0.2:1": second}
		start := time.Now()
		texts, err := generate(t, []string{"10.0.0.1:1", "10.0.0.2:1"}, client.WithTransport(network))
		qt.Assert(t, err, qt.Equals, io.EOF)
		qt.Assert(t, texts, qt.DeepEquals, allTexts)
		qt.Assert(t, first.requestURIs, qt.HasLen, 1)
		qt.Assert(t, second.requestURIs, qt.HasLen, 1)
		qt.Assert(t, time.Since(start), qt.Equals, time.Hour+15*time.Second)
	})
}

// TestResumeAtOtherRouter guards against a stream that is resumed at the router that failed it because another call of the
// client has advanced the round-robin index.
func TestResumeAtOtherRouter(t *testing.T) {
	body := func(from int64, _ bool) string { return eventsFrom(from) }
	first, second := &fakeRouter{cutAt: 150, body: body}, &fakeRouter{cutAt: -1, body: body}
	fleetClient, err := client.New([]string{first.start(t), second.start(t)}, "key", client.WithRetryDelay(0))
	qt.Assert(t, err, qt.IsNil)
	stream, err := fleetClient.Generate(t.Context(), "m", client.GenerateRequest{})
	qt.Assert(t, err, qt.IsNil)
	other, err := fleetClient.Generate(t.Context(), "m", client.GenerateRequest{})
	qt.Assert(t, err, qt.IsNil)
	other.Close()
	for err == nil {
		_, err = stream.Next()
	}
	qt.Assert(t, err, qt.Equals, io.EOF)
	qt.Assert(t, stream.ResumeCount(), qt.Equals, 1)
	qt.Assert(t, first.requestURIs, qt.HasLen, 1)
	qt.Assert(t, second.requestURIs, qt.HasLen, 2)
}

// TestRetryAfterRefusal guards against a refused call that is sent again although it may have run or another router would
// refuse it too, and against one that is not sent to another router although it did not run.
func TestRetryAfterRefusal(t *testing.T) {
	refusal := func(status int, body string) func(string) (int, string) {
		return func(string) (int, string) { return status, body }
	}
	tests := []struct {
		name  string
		first *fakeRouter
		code  string
	}{
		{"shutting down, did not run", &fakeRouter{refuse: refusal(503, `{"code":"shutting_down","ran":"no"}`)}, ""},
		{"shutting down, may have run", &fakeRouter{refuse: refusal(503, `{"code":"shutting_down","ran":"unknown"}`)}, "shutting_down"},
		{
			"too many waiting requests",
			&fakeRouter{refuse: refusal(429, `{"code":"flood_waiting","ran":"no","retry_at":"2026-01-01T00:00:00Z"}`)},
			"flood_waiting",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			second := &fakeRouter{cutAt: -1, body: func(from int64, _ bool) string { return eventsFrom(from) }}
			_, err := generate(t, []string{test.first.start(t), second.start(t)})
			var refused *client.Refusal
			if test.code == "" {
				qt.Assert(t, err, qt.Equals, io.EOF)
				return
			}
			qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
			qt.Assert(t, refused.Code, qt.Equals, test.code)
			qt.Assert(t, refused.RetryAt.IsZero(), qt.Equals, test.code == "shutting_down")
			qt.Assert(t, second.requestURIs, qt.HasLen, 0)
		})
	}
}

// TestUnreachable guards against a call that fails although another router is reachable, and against an error that leaves
// open whether the call ran although no router is reachable.
func TestUnreachable(t *testing.T) {
	router := &fakeRouter{cutAt: -1, body: func(from int64, _ bool) string { return eventsFrom(from) }}
	_, err := generate(t, []string{refusingAddress(t), router.start(t)})
	qt.Assert(t, err, qt.Equals, io.EOF)
	_, err = generate(t, []string{refusingAddress(t), refusingAddress(t)})
	var unreachable *client.UnreachableError
	qt.Assert(t, errors.As(err, &unreachable), qt.IsTrue)
}

// TestInvokeAfterLostConnection guards against a call without an idempotency key that is sent twice, and against one with a
// key that is not sent again, when the connection is lost before or within the response.
func TestInvokeAfterLostConnection(t *testing.T) {
	const uuid = "018f0000-0000-7000-8000-000000000000"
	closeBeforeResponse := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	closeWithinResponse := func() http.Handler { return &fakeRouter{cutAt: 0, body: func(int64, bool) string { return "x" }} }
	tests := []struct {
		name, key string
		first     http.Handler
	}{
		{"before, without key", "", closeBeforeResponse},
		{"before, with key", uuid, closeBeforeResponse},
		{"within, without key", "", closeWithinResponse()},
		{"within, with key", uuid, closeWithinResponse()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			receivedKeys := ""
			second := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				receivedKeys += r.Header.Get("Idempotency-Key")
				_, _ = w.Write([]byte(`{"result":{"number":"7"},"replayed":true}`))
			})
			fleetClient, err := client.New([]string{startServer(t, test.first), startServer(t, second)}, "key", client.WithRetryDelay(0))
			qt.Assert(t, err, qt.IsNil)
			result, err := fleetClient.Invoke(t.Context(), "s", "o", client.InvokeRequest{IdempotencyKey: test.key})
			qt.Assert(t, receivedKeys, qt.Equals, test.key)
			if test.key == "" {
				var interrupted *client.InterruptedError
				qt.Assert(t, errors.As(err, &interrupted), qt.IsTrue)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, result, qt.DeepEquals, client.InvokeResult{Values: map[string]string{"number": "7"}, Replayed: true})
		})
	}
}
