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

// callResult is what was received for one call; it may be incomplete if the call failed.
type callResult struct {
	response     client.InvokeResult
	firstTokenAt time.Time
	tokens       int64
	resumes      int
}

// makeCall makes one call and passes the text of each token to onToken as it arrives. If it returns an error, the result
// holds what was received before.
func (c *callCommand) makeCall(
	ctx context.Context, customerClient *client.Client, class string, onToken func(string),
) (callResult, error) {
	deadline := time.Now().Add(c.callTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if c.service != "" {
		return c.invokeService(ctx, customerClient, class, deadline)
	}
	stream, err := customerClient.Generate(ctx, c.model,
		client.GenerateRequest{Class: class, Prompt: c.prompt, MaxTokens: c.maxTokens, Deadline: deadline})
	if err != nil {
		return callResult{}, err
	}
	defer stream.Close()
	var result callResult
	for {
		token, err := stream.Next()
		result.resumes = stream.ResumeCount()
		if errors.Is(err, io.EOF) {
			return result, nil
		}
		if err != nil {
			return result, err
		}
		if result.tokens == 0 {
			result.firstTokenAt = time.Now()
		}
		result.tokens++
		onToken(token.Text)
	}
}

// invokeService calls the operation of the service, with the idempotency key that --keyed or --repeat asks for.
func (c *callCommand) invokeService(
	ctx context.Context, customerClient *client.Client, class string, deadline time.Time,
) (callResult, error) {
	invocation := client.InvokeRequest{Arguments: c.arguments, Class: class, Deadline: deadline, IdempotencyKey: c.repeatedKey}
	if c.generateKeys {
		key, err := uuid.NewV7()
		if err != nil {
			return callResult{}, err
		}
		invocation.IdempotencyKey = key.String()
	}
	response, err := customerClient.Invoke(ctx, c.service, c.operation, invocation)
	return callResult{response: response, firstTokenAt: time.Now()}, err
}

// measureCall makes one call of a load and returns its outcome.
func (c *callCommand) measureCall(ctx context.Context, customerClient *client.Client, class string) load.Outcome {
	result, err := c.makeCall(ctx, customerClient, class, func(string) {})
	outcome := load.Outcome{FirstTokenAt: result.firstTokenAt, Resumes: result.resumes, Tokens: result.tokens}
	var refusal *client.Refusal
	switch {
	case err == nil:
	case errors.As(err, &refusal):
		outcome.Code, outcome.Refused = refusal.Code, true
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		outcome.Code = load.CodeTimedOut
	case isUnreachable(err):
		outcome.Code = load.CodeUnreachable
	default:
		outcome.Code = load.CodeBroken
	}
	return outcome
}

// runOnce makes one call and prints its answer. Without --json, the text of a model is printed as it arrives.
func (c *callCommand) runOnce(ctx context.Context, customerClient *client.Client) error {
	class := ""
	if len(c.classes) > 0 {
		class = c.classes[0]
	}
	start := time.Now()
	var text []byte
	result, err := c.makeCall(ctx, customerClient, class, func(token string) {
		if c.app.jsonOutput {
			text = append(text, token...)
			return
		}
		_, _ = fmt.Fprint(c.app.out, token) // An output that cannot be written to does not end the call.
	})
	switch {
	case c.app.jsonOutput && err == nil && c.service != "":
		return c.app.printJSON(result.response)
	case c.app.jsonOutput && err == nil:
		return c.app.printJSON(map[string]any{
			"text": string(text), "tokens": result.tokens, "resumes": result.resumes,
			"first_ms": result.firstTokenAt.Sub(start).Milliseconds(), "whole_ms": time.Since(start).Milliseconds(),
		})
	case c.service != "" && err == nil:
		rows := make([][]string, 0, len(result.response.Values))
		for _, name := range slices.Sorted(maps.Keys(result.response.Values)) {
			rows = append(rows, []string{name, result.response.Values[name]})
		}
		return c.app.printTable("name value", rows)
	case c.service == "" && result.tokens > 0 && !c.app.jsonOutput:
		_, _ = fmt.Fprintln(c.app.out)
	}
	return err
}

// printSummary prints the summary of a load. It returns an error if calls were neither answered nor refused.
func (c *callCommand) printSummary(summary *load.Summary) error {
	rows, codes := summary.Rows(), summary.CountsByCode()
	if c.app.jsonOutput {
		if err := c.app.printJSON(map[string]any{
			"elapsed_ms": summary.Elapsed.Milliseconds(), "resumes": summary.Resumes(), "codes": codes, "rows": rows,
		}); err != nil {
			return err
		}
	} else if err := c.printSummaryTables(summary, rows, codes); err != nil {
		return err
	}
	if failed := rows[0].Failed; failed > 0 {
		return fmt.Errorf("%d calls were neither answered nor refused", failed)
	}
	return nil
}

// printSummaryTables prints the rows of a load as one table, and its other counts as a second one.
func (c *callCommand) printSummaryTables(summary *load.Summary, rows []load.Row, codes map[string]int64) error {
	tableRows := make([][]string, 0, len(rows))
	for _, row := range rows {
		cells := []string{row.Group}
		for _, count := range []int64{row.Sent, row.Answered, row.Refused, row.Failed, row.Tokens} {
			cells = append(cells, strconv.FormatInt(count, 10))
		}
		for _, latency := range []load.LatencyStats{row.FirstTokenLatency, row.TotalLatency} {
			for _, value := range []float64{latency.P50, latency.P95, latency.P99} {
				cells = append(cells, strconv.FormatFloat(value, 'f', 1, 64))
			}
		}
		tableRows = append(tableRows, cells)
	}
	const heading = "group sent answered refused failed tokens first50ms first95ms first99ms " +
		"whole50ms whole95ms whole99ms"
	if err := c.app.printTable(heading, tableRows); err != nil {
		return err
	}
	counts := [][]string{
		{"elapsed_ms", strconv.FormatInt(summary.Elapsed.Milliseconds(), 10)},
		{"resumes", strconv.FormatInt(summary.Resumes(), 10)},
	}
	for _, code := range slices.Sorted(maps.Keys(codes)) {
		counts = append(counts, []string{code, strconv.FormatInt(codes[code], 10)})
	}
	_, _ = fmt.Fprintln(c.app.out) // If the output cannot be written to, the next call returns the error.
	return c.app.printTable("count value", counts)
}
