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
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/outside/engineclient"
	"github.com/chicorydale/chicorydale/internal/outside/transport"
)

const (
	interval = 10 * time.Millisecond
	lag      = 200 * time.Millisecond
	keep     = time.Minute
)

// call is a call of some length.
var call = outside.GenerateRequest{StreamID: "a", Prompt: "design brief", MaxTokens: 100}

// run runs a test in virtual time with a handler in the place of an engine.
func run(t *testing.T, handler func() http.Handler, test func(c *qt.C, client *engineclient.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var network pipenet.Network
		server := handler()
		if closer, ok := server.(io.Closer); ok {
			defer func() { _ = closer.Close() }()
		}
		defer network.Serve("engine:1", server)()
		client := transport.New(transport.WithDial(network.DialContext))
		defer client.Close()
		test(qt.New(t), engineclient.New("engine", "engine:1", client))
	})
}

// engine returns an engine of two slots that crashes on the word "boom".
func engine() http.Handler {
	return engineserver.New(2, interval, engineserver.WithReportLag(lag), engineserver.WithStreamRetention(keep),
		engineserver.WithCrashWord("boom", nil))
}

// read reads a stream up to its end or to limit tokens and closes it.
func read(c *qt.C, stream outside.Stream, err error, limit int64) (string, error) {
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

// crashed tells whether an error is a crash.
func crashed(err error) bool {
	var target *outside.CrashedError
	return errors.As(err, &target)
}

// Guards against a gap or a doubled token when a stream is resumed while it runs, by two clients, or after its end, and
// against a client that cancels a call by leaving.
func TestResume(t *testing.T) {
	run(t, engine, func(c *qt.C, client *engineclient.Client) {
		want := transcript.New(call.Prompt, call.MaxTokens)
		stream, err := client.Generate(c.Context(), call)
		head, err := read(c, stream, err, 5)
		c.Assert(err, qt.IsNil)
		time.Sleep(7 * interval)
		for _, from := range []int64{5, 0, 8} {
			stream, err := client.Resume(c.Context(), call.StreamID, from)
			tail, err := read(c, stream, err, call64)
			c.Assert(err, qt.Equals, io.EOF)
			if from == 5 {
				c.Assert(head+tail, qt.Equals, want.Text())
			}
			c.Assert(strings.HasSuffix(want.Text(), tail), qt.IsTrue)
			c.Assert(int64(strings.Count(tail, " ")), qt.Equals, want.TokenCount()-from)
		}
		_, err = client.Generate(c.Context(), call)
		var rejected *outside.RejectedError
		c.Assert(errors.As(err, &rejected), qt.IsTrue)
		_, err = client.Resume(c.Context(), "other", 0)
		c.Assert(errors.As(err, &rejected), qt.IsTrue)
		c.Assert(rejected.Status, qt.Equals, http.StatusNotFound)
	})
}

// call64 is more than the tokens of any call.
const call64 = 1 << 20

// Guards against a stream that broke off, or misses or doubles a token, and counts as a whole answer.
func TestCutStream(t *testing.T) {
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
			answer := func() http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
			}
			run(t, answer, func(c *qt.C, client *engineclient.Client) {
				stream, err := client.Generate(c.Context(), call)
				_, err = read(c, stream, err, call64)
				c.Assert(crashed(err), qt.IsTrue, qt.Commentf("%v", err))
			})
		})
	}
}

// Guards against a crash that ends a stream as if it were whole, and against an engine that keeps its incarnation or
// its streams over a crash.
func TestCrashWord(t *testing.T) {
	run(t, engine, func(c *qt.C, client *engineclient.Client) {
		before, err := client.LoadReport(c.Context())
		c.Assert(err, qt.IsNil)
		other, err := client.Generate(c.Context(), call)
		c.Assert(err, qt.IsNil)
		deadly, err := client.Generate(c.Context(), outside.GenerateRequest{StreamID: "b", Prompt: "a boom", MaxTokens: 9})
		c.Assert(err, qt.IsNil)
		for _, stream := range []outside.Stream{other, deadly} {
			_, err := read(c, stream, nil, call64)
			c.Assert(crashed(err), qt.IsTrue)
		}
		_, err = client.Resume(c.Context(), call.StreamID, 0)
		var rejected *outside.RejectedError
		c.Assert(errors.As(err, &rejected), qt.IsTrue)
		time.Sleep(lag)
		after, err := client.LoadReport(c.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(after.Incarnation, qt.Not(qt.Equals), before.Incarnation)
		c.Assert(after.Running, qt.Equals, 0)
	})
}

// Guards against a cancelled stream that counts as whole or keeps its slot.
func TestCancel(t *testing.T) {
	run(t, engine, func(c *qt.C, client *engineclient.Client) {
		stream, err := client.Generate(c.Context(), call)
		c.Assert(err, qt.IsNil)
		c.Assert(client.Cancel(c.Context(), call.StreamID), qt.IsNil)
		_, err = read(c, stream, nil, call64)
		c.Assert(crashed(err), qt.IsTrue)
		time.Sleep(lag)
		load, err := client.LoadReport(c.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(load.Running, qt.Equals, 0)
		c.Assert(client.Cancel(c.Context(), "other"), qt.IsNil)
	})
}

// Guards against an engine whose throughput grows beyond its slots, and against reports without lag or with wrong
// numbers of running and queued requests.
func TestSlots(t *testing.T) {
	run(t, engine, func(c *qt.C, client *engineclient.Client) {
		ids := []string{"a", "b", "c", "d"}
		streams := make([]outside.Stream, 0, len(ids))
		for _, id := range ids {
			stream, err := client.Generate(c.Context(), outside.GenerateRequest{StreamID: id, Prompt: "p", MaxTokens: 100})
			c.Assert(err, qt.IsNil)
			streams = append(streams, stream)
		}
		start := time.Now()
		for _, want := range [][]int{{0, 0}, {2, 2}} {
			load, err := client.LoadReport(c.Context())
			c.Assert(err, qt.IsNil)
			c.Assert(time.Since(load.MeasuredAt) <= lag, qt.IsTrue)
			c.Assert([]int{load.Running, load.Queued}, qt.DeepEquals, want)
			time.Sleep(lag)
		}
		alone := time.Duration(transcript.New("p", 100).TokenCount()) * interval
		for i, stream := range streams {
			_, err := read(c, stream, nil, call64)
			c.Assert(err, qt.Equals, io.EOF)
			c.Assert(time.Since(start), qt.Equals, alone*time.Duration(1+i/2))
		}
	})
}

// Guards against a leaving mark that does not show, and against reports that go on while they are frozen.
func TestLeavingAndFreeze(t *testing.T) {
	var server *engineserver.Server
	create := func() http.Handler {
		server = engineserver.New(2, interval, engineserver.WithReportLag(lag))
		return server
	}
	run(t, create, func(c *qt.C, client *engineclient.Client) {
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

// Guards against a stream that waits forever for an engine that went silent, and against one that breaks off while its
// call waits for a slot or its reader is slow.
func TestSilence(t *testing.T) {
	silent := func() http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})
	}
	run(t, silent, func(c *qt.C, client *engineclient.Client) {
		start := time.Now()
		stream, err := client.Generate(c.Context(), call)
		_, err = read(c, stream, err, 1)
		c.Assert(crashed(err), qt.IsTrue)
		c.Assert(time.Since(start) <= 10*time.Second, qt.IsTrue)
	})
	slow := func() http.Handler { return engineserver.New(1, time.Second) }
	run(t, slow, func(c *qt.C, client *engineclient.Client) {
		first, err := client.Generate(c.Context(), call)
		c.Assert(err, qt.IsNil)
		second, err := client.Generate(c.Context(), outside.GenerateRequest{StreamID: "b", Prompt: "p", MaxTokens: 2})
		c.Assert(err, qt.IsNil)
		_, err = read(c, second, nil, call64)
		c.Assert(err, qt.Equals, io.EOF)
		_, err = read(c, first, nil, call64)
		c.Assert(err, qt.Equals, io.EOF)
	})
}

// Guards against a call whose context ends and that counts as whole or as not run.
func TestContextEnds(t *testing.T) {
	run(t, engine, func(c *qt.C, client *engineclient.Client) {
		ctx, cancel := context.WithTimeout(c.Context(), 5*interval)
		defer cancel()
		stream, err := client.Generate(ctx, call)
		_, err = read(c, stream, err, call64)
		c.Assert(crashed(err), qt.IsTrue)
		c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
	})
}
