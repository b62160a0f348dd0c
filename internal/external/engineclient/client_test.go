package engineclient_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/engineserver"
	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/pipenet"
	"github.com/chicorydale/chicorydale/internal/emulator/transcript"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/engineclient"
	"github.com/chicorydale/chicorydale/internal/external/transport"
)

const (
	// tokenInterval is the time that the engine takes per token.
	tokenInterval = 10 * time.Millisecond
	// reportLag is the age of the engine's load reports.
	reportLag = 200 * time.Millisecond
	// streamRetention is how long the engine keeps the tokens of a finished stream.
	streamRetention = time.Minute
	// allTokens exceeds the number of tokens of any call.
	allTokens = 1 << 20
)

// request is a call long enough to be interrupted.
var request = external.GenerateRequest{StreamID: "a", Prompt: "design brief", MaxTokens: 100}

// runWithEngine runs a test in virtual time with a client of the handler that newHandler returns.
func runWithEngine(t *testing.T, newHandler func() http.Handler, test func(c *qt.C, client *engineclient.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var network pipenet.Network
		handler := newHandler()
		if closer, ok := handler.(io.Closer); ok {
			defer func() { _ = closer.Close() }()
		}
		defer network.Serve("engine:1", handler)()
		client := transport.New(transport.WithDial(network.DialContext))
		defer client.Close()
		test(qt.New(t), engineclient.New("engine", "engine:1", client))
	})
}

// newEngine returns an emulated engine of two slots that crashes on a prompt with the word "boom".
func newEngine() http.Handler {
	return engineserver.New(2, tokenInterval, engineserver.WithReportLag(reportLag), engineserver.WithStreamRetention(streamRetention),
		engineserver.WithCrashWord("boom", nil))
}

// readText reads a stream up to its end or limit tokens, closes it and returns the text and the final error.
func readText(c *qt.C, stream external.Stream, err error, limit int64) (string, error) {
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(stream.Close(), qt.IsNil) }()
	var text strings.Builder
	for range limit {
		token, err := stream.Next()
		if err != nil {
			_, again := stream.Next()
			c.Check(again, qt.Equals, err)
			return text.String(), err
		}
		text.WriteString(token.Text)
	}
	return text.String(), nil
}

// isCrash reports whether err is an *external.CrashedError.
func isCrash(err error) bool {
	var crashed *external.CrashedError
	return errors.As(err, &crashed)
}

// TestResume guards against a lost or duplicated token when a stream is resumed while it runs, repeatedly, or after its end,
// and against a client that cancels a call by closing its stream.
func TestResume(t *testing.T) {
	runWithEngine(t, newEngine, func(c *qt.C, client *engineclient.Client) {
		want := transcript.New(request.Prompt, request.MaxTokens)
		stream, err := client.Generate(c.Context(), request)
		head, err := readText(c, stream, err, 5)
		c.Assert(err, qt.IsNil)
		time.Sleep(7 * tokenInterval)
		for _, from := range []int64{5, 0, 8} {
			stream, err := client.Resume(c.Context(), request.StreamID, from)
			tail, err := readText(c, stream, err, allTokens)
			c.Assert(err, qt.Equals, io.EOF)
			if from == 5 {
				c.Assert(head+tail, qt.Equals, want.Text())
			}
			c.Assert(strings.HasSuffix(want.Text(), tail), qt.IsTrue)
			c.Assert(int64(strings.Count(tail, " ")), qt.Equals, want.TokenCount()-from)
		}
		_, err = client.Generate(c.Context(), request)
		var rejected *external.RejectedError
		c.Assert(errors.As(err, &rejected), qt.IsTrue)
		_, err = client.Resume(c.Context(), "other", 0)
		c.Assert(errors.As(err, &rejected), qt.IsTrue)
		c.Assert(rejected.Status, qt.Equals, http.StatusNotFound)
	})
}

// TestIncompleteStream guards against a stream that counts as complete although it was interrupted or a token is missing,
// duplicated or malformed.
func TestIncompleteStream(t *testing.T) {
	const zero, one = `{"index":0,"text":"x"}` + "\n", `{"index":1,"text":"y"}` + "\n"
	for name, body := range map[string]string{
		"no end":    zero + one,
		"empty":     "",
		"gap":       one,
		"doubled":   zero + zero,
		"short":     zero + `{"index":2,"end":true}` + "\n",
		"error":     zero + `{"index":1,"error":"cancelled"}` + "\n",
		"malformed": zero + `{"index":1,"end":true` + "\n",
		"mistyped":  zero + `{"index":1,"end":true,"text":7}` + "\n",
		"long line": zero + strings.Repeat("x", 1<<17) + "\n" + `{"index":1,"end":true}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			newHandler := func() http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
			}
			runWithEngine(t, newHandler, func(c *qt.C, client *engineclient.Client) {
				stream, err := client.Generate(c.Context(), request)
				_, err = readText(c, stream, err, allTokens)
				c.Assert(isCrash(err), qt.IsTrue, qt.Commentf("%v", err))
			})
		})
	}
}

// TestEngineCrash guards against a crash that ends a stream as if it were complete, and against an emulated engine that
// keeps its incarnation or its streams across a crash.
func TestEngineCrash(t *testing.T) {
	runWithEngine(t, newEngine, func(c *qt.C, client *engineclient.Client) {
		before, err := client.LoadReport(c.Context())
		c.Assert(err, qt.IsNil)
		other, err := client.Generate(c.Context(), request)
		c.Assert(err, qt.IsNil)
		crashing, err := client.Generate(c.Context(), external.GenerateRequest{StreamID: "b", Prompt: "a boom", MaxTokens: 9})
		c.Assert(err, qt.IsNil)
		for _, stream := range []external.Stream{other, crashing} {
			_, err := readText(c, stream, nil, allTokens)
			c.Assert(isCrash(err), qt.IsTrue)
		}
		_, err = client.Resume(c.Context(), request.StreamID, 0)
		var rejected *external.RejectedError
		c.Assert(errors.As(err, &rejected), qt.IsTrue)
		time.Sleep(reportLag)
		after, err := client.LoadReport(c.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(after.Incarnation, qt.Not(qt.Equals), before.Incarnation)
		c.Assert(after.Running, qt.Equals, 0)
	})
}

// TestCancel guards against a cancelled stream that counts as complete or keeps its slot.
func TestCancel(t *testing.T) {
	runWithEngine(t, newEngine, func(c *qt.C, client *engineclient.Client) {
		stream, err := client.Generate(c.Context(), request)
		c.Assert(err, qt.IsNil)
		c.Assert(client.Cancel(c.Context(), request.StreamID), qt.IsNil)
		_, err = readText(c, stream, nil, allTokens)
		c.Assert(isCrash(err), qt.IsTrue)
		time.Sleep(reportLag)
		load, err := client.LoadReport(c.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(load.Running, qt.Equals, 0)
		c.Assert(client.Cancel(c.Context(), "other"), qt.IsNil)
	})
}

// TestSlots guards against an emulated engine that runs more requests at once than it has slots, and against load reports
// without lag or with wrong numbers of running and queued requests.
func TestSlots(t *testing.T) {
	runWithEngine(t, newEngine, func(c *qt.C, client *engineclient.Client) {
		ids := []string{"a", "b", "c", "d"}
		streams := make([]external.Stream, 0, len(ids))
		for _, id := range ids {
			stream, err := client.Generate(c.Context(), external.GenerateRequest{StreamID: id, Prompt: "p", MaxTokens: 100})
			c.Assert(err, qt.IsNil)
			streams = append(streams, stream)
		}
		start := time.Now()
		for _, want := range [][]int{{0, 0}, {2, 2}} {
			load, err := client.LoadReport(c.Context())
			c.Assert(err, qt.IsNil)
			c.Assert(time.Since(load.MeasuredAt) <= reportLag, qt.IsTrue)
			c.Assert([]int{load.Running, load.Queued}, qt.DeepEquals, want)
			time.Sleep(reportLag)
		}
		callTime := time.Duration(transcript.New("p", 100).TokenCount()) * tokenInterval
		for i, stream := range streams {
			_, err := readText(c, stream, nil, allTokens)
			c.Assert(err, qt.Equals, io.EOF)
			c.Assert(time.Since(start), qt.Equals, callTime*time.Duration(1+i/2))
		}
	})
}

// TestFrozenLoadReport guards against a leaving flag that is missing from the load report, and against an emulated engine
// whose report changes while it is frozen.
func TestFrozenLoadReport(t *testing.T) {
	var server *engineserver.Server
	newHandler := func() http.Handler {
		server = engineserver.New(2, tokenInterval, engineserver.WithReportLag(reportLag))
		return server
	}
	runWithEngine(t, newHandler, func(c *qt.C, client *engineclient.Client) {
		server.Faults.Set(fault.Fault{FreezeReports: true})
		server.Leave()
		for _, leaving := range []bool{false, true} {
			time.Sleep(time.Minute)
			load, err := client.LoadReport(c.Context())
			c.Assert(err, qt.IsNil)
			c.Assert(load.Leaving, qt.Equals, leaving)
			c.Assert(time.Since(load.MeasuredAt) > time.Second, qt.Equals, !leaving)
			server.Faults.Set(fault.Fault{})
		}
	})
}

// TestIdleTimeout guards against a stream that waits forever for an engine that sends nothing, and against one that is
// interrupted while its call waits for a slot or its reader is slow.
func TestIdleTimeout(t *testing.T) {
	newSilentServer := func() http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})
	}
	runWithEngine(t, newSilentServer, func(c *qt.C, client *engineclient.Client) {
		start := time.Now()
		stream, err := client.Generate(c.Context(), request)
		_, err = readText(c, stream, err, 1)
		c.Assert(isCrash(err), qt.IsTrue)
		c.Assert(time.Since(start) <= 10*time.Second, qt.IsTrue)
	})
	newSlowEngine := func() http.Handler { return engineserver.New(1, time.Second) }
	runWithEngine(t, newSlowEngine, func(c *qt.C, client *engineclient.Client) {
		first, err := client.Generate(c.Context(), request)
		c.Assert(err, qt.IsNil)
		second, err := client.Generate(c.Context(), external.GenerateRequest{StreamID: "b", Prompt: "p", MaxTokens: 2})
		c.Assert(err, qt.IsNil)
		_, err = readText(c, second, nil, allTokens)
		c.Assert(err, qt.Equals, io.EOF)
		_, err = readText(c, first, nil, allTokens)
		c.Assert(err, qt.Equals, io.EOF)
	})
}

// TestContextDeadline guards against a call that counts as complete or as not run although its context ended first.
func TestContextDeadline(t *testing.T) {
	runWithEngine(t, newEngine, func(c *qt.C, client *engineclient.Client) {
		ctx, cancel := context.WithTimeout(c.Context(), 5*tokenInterval)
		defer cancel()
		stream, err := client.Generate(ctx, request)
		_, err = readText(c, stream, err, allTokens)
		c.Assert(isCrash(err), qt.IsTrue)
		c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
	})
}
