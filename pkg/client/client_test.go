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

// read calls a model at the addresses and returns its tokens and the error at the end.
func read(t *testing.T, addresses []string, options ...client.Option) ([]string, error) {
	t.Helper()
	caller, err := client.New(addresses, "key", append([]client.Option{client.WithRetryDelay(0)}, options...)...)
	qt.Assert(t, err, qt.IsNil)
	stream, err := caller.Generate(t.Context(), "m", client.GenerateRequest{Class: "quick", Prompt: "p"})
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

var whole = []string{"word0 ", "word1 ", "word2 ", "word3 "}

// TestCutAnywhere guards against a token that is missing or doubled after a connection broke at any byte of an answer.
func TestCutAnywhere(t *testing.T) {
	text := events(0)
	started := strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
	for cut := range len(text) {
		answer := func(from int64, _ bool) string { return events(from) }
		first, second := &fake{cut: cut, answer: answer}, &fake{cut: -1, answer: answer}
		texts, err := read(t, []string{first.serve(t), second.serve(t)})
		if cut < started {
			var broken *client.InterruptedError
			qt.Assert(t, errors.As(err, &broken), qt.IsTrue, qt.Commentf("cut at byte %d: %v", cut, err))
			qt.Assert(t, second.asked, qt.HasLen, 0)
			continue
		}
		qt.Assert(t, err, qt.Equals, io.EOF, qt.Commentf("cut at byte %d", cut))
		qt.Assert(t, texts, qt.DeepEquals, whole, qt.Commentf("cut at byte %d", cut))
		qt.Assert(t, second.asked, qt.HasLen, 1)
		qt.Assert(t, strings.HasPrefix(second.asked[0], "/v1/streams/t%2F1?from="), qt.IsTrue)
	}
}

// TestWrongAnswers guards against an answer that is taken for whole although tokens are missing, doubled or unreadable.
func TestWrongAnswers(t *testing.T) {
	swap := func(old, replacement string) func(int64, bool) string {
		return func(from int64, resumed bool) string {
			if resumed {
				return events(from)
			}
			return strings.Replace(events(from), old, replacement, 1)
		}
	}
	two := events(0)[strings.Index(events(0), "event: token\nid: 2"):strings.Index(events(0), "event: token\nid: 3")]
	tests := []struct {
		name    string
		answer  func(int64, bool) string
		problem string
	}{
		{"a gap is asked for again", swap(two, ""), ""},
		{"a doubled token is left out", swap(two, two+two), ""},
		{"an end that comes too early is asked for again", swap(two, "event: end\ndata: {\"tokens\":4}\n\n"), ""},
		{"a router that shuts down", swap(two, "event: error\ndata: {\"code\":\"shutting_down\",\"ran\":\"unknown\"}\n\n"), ""},
		{"an end that counts too few", swap(`{"tokens":4}`, `{"tokens":3}`), "counts 3 tokens, but 4 came"},
		{"an end without count", swap(`{"tokens":4}`, `{}`), "an end event holds no count"},
		{"another id", swap("id: 2", "id: 3"), "token 2 has the event id 3"},
		{"no start", swap("event: start", "event: other"), "a token comes before the start event"},
		{"an unreadable token", swap(`"index":2`, `"index":`), "a token event: .*"},
		{"an error without refusal", swap(two, "event: error\ndata: {}\n\n"), "an error event holds no refusal"},
		{"a long line", swap("word2", strings.Repeat("w", 201)), "a line has more than 200 bytes"},
		{"a long event", swap(two, strings.Repeat("data: "+strings.Repeat("x", 99)+"\n", 3)+"\n"), "an event has more than 200 bytes"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			router := &fake{cut: -1, answer: test.answer}
			texts, err := read(t, []string{router.serve(t)}, client.WithMaxLineBytes(200))
			if test.problem == "" {
				qt.Assert(t, err, qt.Equals, io.EOF)
				qt.Assert(t, texts, qt.DeepEquals, whole)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, "the answer is not of the documented form: .*"+test.problem)
		})
	}
}

// TestGivesUp guards against a stream that is resumed for ever although nothing new comes.
func TestGivesUp(t *testing.T) {
	router := &fake{cut: -1, answer: func(int64, bool) string { return strings.Split(events(0), "event: token\nid: 1")[0] }}
	texts, err := read(t, []string{router.serve(t)}, client.WithMaxAttempts(3))
	var broken *client.InterruptedError
	qt.Assert(t, errors.As(err, &broken), qt.IsTrue)
	qt.Assert(t, broken.NextIndex, qt.Equals, int64(1))
	qt.Assert(t, texts, qt.DeepEquals, whole[:1])
	qt.Assert(t, router.asked, qt.HasLen, 4)
}

// TestSilence guards against a stream that waits for ever for a router that has lost its network, and against one that
// gives a router up while its request waits for a slot.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := func(from int64, _ bool) string { return events(from) }
		silent, second := &fake{cut: 150, answer: answer, silence: true, queue: time.Hour}, &fake{cut: -1, answer: answer}
		network := pipes{"10.0.0.1:1": silent, "10.0.0.2:1": second}
		start := time.Now()
		texts, err := read(t, []string{"10.0.0.1:1", "10.0.0.2:1"}, client.WithTransport(network))
		qt.Assert(t, err, qt.Equals, io.EOF)
		qt.Assert(t, texts, qt.DeepEquals, whole)
		qt.Assert(t, silent.asked, qt.HasLen, 1)
		qt.Assert(t, second.asked, qt.HasLen, 1)
		qt.Assert(t, time.Since(start), qt.Equals, time.Hour+15*time.Second)
	})
}

// TestOtherRouter guards against a stream that is resumed at the router that failed it, because another call of the client
// has moved the turn on.
func TestOtherRouter(t *testing.T) {
	answer := func(from int64, _ bool) string { return events(from) }
	first, second := &fake{cut: 150, answer: answer}, &fake{cut: -1, answer: answer}
	caller, err := client.New([]string{first.serve(t), second.serve(t)}, "key", client.WithRetryDelay(0))
	qt.Assert(t, err, qt.IsNil)
	stream, err := caller.Generate(t.Context(), "m", client.GenerateRequest{})
	qt.Assert(t, err, qt.IsNil)
	other, err := caller.Generate(t.Context(), "m", client.GenerateRequest{})
	qt.Assert(t, err, qt.IsNil)
	other.Close()
	for err == nil {
		_, err = stream.Next()
	}
	qt.Assert(t, err, qt.Equals, io.EOF)
	qt.Assert(t, stream.ResumeCount(), qt.Equals, 1)
	qt.Assert(t, first.asked, qt.HasLen, 1)
	qt.Assert(t, second.asked, qt.HasLen, 2)
}

// TestRefusals guards against a refused call that is sent again although it may have run, and against one that is not
// sent to another router although it did not run.
func TestRefusals(t *testing.T) {
	refusal := func(status int, body string) func(string) (int, string) {
		return func(string) (int, string) { return status, body }
	}
	tests := []struct {
		name  string
		first *fake
		code  string
	}{
		{"leaving", &fake{refuse: refusal(503, `{"code":"shutting_down","ran":"no"}`)}, ""},
		{"leaving, may have run", &fake{refuse: refusal(503, `{"code":"shutting_down","ran":"unknown"}`)}, "shutting_down"},
		{"flood", &fake{refuse: refusal(429, `{"code":"flood_waiting","ran":"no","retry_at":"2026-01-01T00:00:00Z"}`)}, "flood_waiting"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			second := &fake{cut: -1, answer: func(from int64, _ bool) string { return events(from) }}
			_, err := read(t, []string{test.first.serve(t), second.serve(t)})
			var refused *client.Refusal
			if test.code == "" {
				qt.Assert(t, err, qt.Equals, io.EOF)
				return
			}
			qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
			qt.Assert(t, refused.Code, qt.Equals, test.code)
			qt.Assert(t, refused.RetryAt.IsZero(), qt.Equals, test.code == "shutting_down")
			qt.Assert(t, second.asked, qt.HasLen, 0)
		})
	}
}

// TestUnreachable guards against a call that fails although another router listens, and against an error that leaves
// open whether the call ran although nobody listens.
func TestUnreachable(t *testing.T) {
	router := &fake{cut: -1, answer: func(from int64, _ bool) string { return events(from) }}
	_, err := read(t, []string{closed(t), router.serve(t)})
	qt.Assert(t, err, qt.Equals, io.EOF)
	_, err = read(t, []string{closed(t), closed(t)})
	var unreachable *client.UnreachableError
	qt.Assert(t, errors.As(err, &unreachable), qt.IsTrue)
}

// TestInvoke guards against a call without key that is sent twice, and against one with key that is given up, when the
// connection breaks before or within the answer.
func TestInvoke(t *testing.T) {
	const uuid = "018f0000-0000-7000-8000-000000000000"
	before := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	within := func() http.Handler { return &fake{cut: 0, answer: func(int64, bool) string { return "x" }} }
	tests := []struct {
		name, key string
		first     http.Handler
	}{
		{"before, without key", "", before},
		{"before, with key", uuid, before},
		{"within, without key", "", within()},
		{"within, with key", uuid, within()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			keys := ""
			second := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				keys += r.Header.Get("Idempotency-Key")
				_, _ = w.Write([]byte(`{"result":{"number":"7"},"replayed":true}`))
			})
			caller, err := client.New([]string{serve(t, test.first), serve(t, second)}, "key", client.WithRetryDelay(0))
			qt.Assert(t, err, qt.IsNil)
			result, err := caller.Invoke(t.Context(), "s", "o", client.InvokeRequest{IdempotencyKey: test.key})
			qt.Assert(t, keys, qt.Equals, test.key)
			if test.key == "" {
				var broken *client.InterruptedError
				qt.Assert(t, errors.As(err, &broken), qt.IsTrue)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, result, qt.DeepEquals, client.InvokeResult{Values: map[string]string{"number": "7"}, Replayed: true})
		})
	}
}
