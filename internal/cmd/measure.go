package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/load"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// answer is what the caller got from one call.
type answer struct {
	result  client.InvokeResult
	first   time.Time
	tokens  int64
	resumes int
}

// send makes one call and returns what came of the answer before an error, and that error.
func (c *call) send(ctx context.Context, caller *client.Client, class string, token func(string)) (answer, error) {
	deadline := time.Now().Add(c.deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if c.service != "" {
		return c.invoke(ctx, caller, class, deadline)
	}
	stream, err := caller.Generate(ctx, c.model,
		client.GenerateRequest{Class: class, Prompt: c.prompt, MaxTokens: c.tokens, Deadline: deadline})
	if err != nil {
		return answer{}, err
	}
	defer stream.Close()
	var got answer
	for {
		next, err := stream.Next()
		got.resumes = stream.ResumeCount()
		if errors.Is(err, io.EOF) {
			return got, nil
		}
		if err != nil {
			return got, err
		}
		if got.tokens == 0 {
			got.first = time.Now()
		}
		got.tokens++
		token(next.Text)
	}
}

// invoke calls the service.
func (c *call) invoke(ctx context.Context, caller *client.Client, class string, deadline time.Time) (answer, error) {
	invocation := client.InvokeRequest{Arguments: c.arguments, Class: class, Deadline: deadline, IdempotencyKey: c.repeat}
	if c.keyed {
		key, err := uuid.NewV7()
		if err != nil {
			return answer{}, err
		}
		invocation.IdempotencyKey = key.String()
	}
	result, err := caller.Invoke(ctx, c.service, c.operation, invocation)
	return answer{result: result, first: time.Now()}, err
}

// measure makes one call of a load.
func (c *call) measure(ctx context.Context, caller *client.Client, class string) load.Outcome {
	got, err := c.send(ctx, caller, class, func(string) {})
	outcome := load.Outcome{FirstTokenAt: got.first, Resumes: got.resumes, Tokens: got.tokens}
	var refused *client.Refusal
	switch {
	case err == nil:
	case errors.As(err, &refused):
		outcome.Code, outcome.Refused = refused.Code, true
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		outcome.Code = load.Late
	case unreachable(err):
		outcome.Code = load.Unreachable
	default:
		outcome.Code = load.Broken
	}
	return outcome
}

// runOnce makes one call and prints its answer; the text of a model is printed as it comes.
func (c *call) runOnce(ctx context.Context, caller *client.Client) error {
	class := ""
	if len(c.classes) > 0 {
		class = c.classes[0]
	}
	start := time.Now()
	var text []byte
	got, err := c.send(ctx, caller, class, func(token string) {
		if c.app.json {
			text = append(text, token...)
			return
		}
		_, _ = fmt.Fprint(c.app.out, token) // The call is made in any case; a closed output ends with the command.
	})
	switch {
	case c.app.json && err == nil && c.service != "":
		return c.app.printJSON(got.result)
	case c.app.json && err == nil:
		return c.app.printJSON(map[string]any{
			"text": string(text), "tokens": got.tokens, "resumes": got.resumes,
			"first_ms": got.first.Sub(start).Milliseconds(), "whole_ms": time.Since(start).Milliseconds(),
		})
	case c.service != "" && err == nil:
		rows := make([][]string, 0, len(got.result.Values))
		for _, name := range slices.Sorted(maps.Keys(got.result.Values)) {
			rows = append(rows, []string{name, got.result.Values[name]})
		}
		return c.app.printTable("name value", rows)
	case c.service == "" && got.tokens > 0 && !c.app.json:
		_, _ = fmt.Fprintln(c.app.out)
	}
	return err
}

// report prints the summary of a load. Its error tells that calls were neither answered nor refused.
func (c *call) report(summary *load.Summary) error {
	rows, codes := summary.Rows(), summary.Codes()
	if c.app.json {
		if err := c.app.printJSON(map[string]any{
			"elapsed_ms": summary.Elapsed.Milliseconds(), "resumes": summary.Resumes(), "codes": codes, "rows": rows,
		}); err != nil {
			return err
		}
	} else if err := c.tables(summary, rows, codes); err != nil {
		return err
	}
	if failed := rows[0].Failed; failed > 0 {
		return fmt.Errorf("%d calls were neither answered nor refused", failed)
	}
	return nil
}

// tables prints the summary of a load as tables.
func (c *call) tables(summary *load.Summary, rows []load.Row, codes map[string]int64) error {
	lines := make([][]string, 0, len(rows))
	for _, row := range rows {
		line := []string{row.Group}
		for _, count := range []int64{row.Sent, row.Answered, row.Refused, row.Failed, row.Tokens} {
			line = append(line, strconv.FormatInt(count, 10))
		}
		for _, l := range []load.Latency{row.First, row.Whole} {
			for _, value := range []float64{l.P50, l.P95, l.P99} {
				line = append(line, strconv.FormatFloat(value, 'f', 1, 64))
			}
		}
		lines = append(lines, line)
	}
	const heading = "group sent answered refused failed tokens first50ms first95ms first99ms " +
		"whole50ms whole95ms whole99ms"
	if err := c.app.printTable(heading, lines); err != nil {
		return err
	}
	counts := [][]string{
		{"elapsed_ms", strconv.FormatInt(summary.Elapsed.Milliseconds(), 10)},
		{"resumes", strconv.FormatInt(summary.Resumes(), 10)},
	}
	for _, code := range slices.Sorted(maps.Keys(codes)) {
		counts = append(counts, []string{code, strconv.FormatInt(codes[code], 10)})
	}
	_, _ = fmt.Fprintln(c.app.out) // An output that is closed fails the next line.
	return c.app.printTable("count value", counts)
}
