package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/gateway"
	"github.com/chicorydale/chicorydale/internal/overload"
)

// zeros is a reader of zero bytes without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// BenchmarkBodyMemory shows what the largest bodies of many callers hold at most, and how far the heap grows, with the limits of a host of 284 MiB:
// held-MB and heap-MB. served is the part of the bodies that got memory within a second.
func BenchmarkBodyMemory(b *testing.B) {
	const bodyBytes, memoryLimit, workTime, patience = 4 << 20, 284 << 20, 50 * time.Millisecond, time.Second
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memoryLimit * 7 / 10))
	for _, callers := range []int{32, 64, 256, 1024} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			var served, heldMost, heapMost atomic.Int64
			for b.Loop() {
				budget := overload.NewBodyBudget(memoryLimit * 3 / 10)
				ctx, cancel := context.WithDeadline(b.Context(), time.Now().Add(patience))
				var running sync.WaitGroup
				for range callers {
					running.Go(func() {
						reservation := budget.Open("customer")
						defer reservation.Release()
						body, err := gateway.ReadBody(ctx, reservation, io.LimitReader(zeros{}, bodyBytes), bodyBytes, true)
						if err != nil {
							return
						}
						served.Add(1)
						heldMost.Store(max(heldMost.Load(), budget.Held()))
						var stats runtime.MemStats
						runtime.ReadMemStats(&stats)
						heapMost.Store(max(heapMost.Load(), int64(stats.HeapInuse)))
						time.Sleep(workTime)
						runtime.KeepAlive(body)
					})
				}
				running.Wait()
				cancel()
			}
			b.ReportMetric(float64(heldMost.Load()>>20), "held-MB")
			b.ReportMetric(float64(heapMost.Load()>>20), "heap-MB")
			b.ReportMetric(float64(served.Load())/float64(b.N*callers), "served")
		})
	}
	b.Run("1024-answers", func(b *testing.B) {
		for b.Loop() {
			budget := overload.NewBodyBudget(memoryLimit * 3 / 10)
			buffered, held := bufferAnswers(budget, 1024, 256<<10)
			b.ReportMetric(float64(held)/(1<<20), "held-MB")
			b.ReportMetric(float64(buffered)/1024, "buffered")
		}
	})
	b.Run("1000-slow", func(b *testing.B) {
		for b.Loop() {
			budget := overload.NewBodyBudget(memoryLimit * 3 / 10)
			b.ReportMetric(float64(heldBySlowCallers(b, budget, 1000, bodyBytes))/(1<<20), "held-MB")
		}
	})
}

// heldBySlowCallers returns what the bodies of callers hold that have announced a size and have sent one byte.
func heldBySlowCallers(tb testing.TB, budget *overload.BodyBudget, callers int, bodyBytes int64) int64 {
	tb.Helper()
	var running sync.WaitGroup
	defer running.Wait()
	for range callers {
		source, caller := io.Pipe()
		running.Go(func() {
			reservation := budget.Open("slow")
			defer reservation.Release()
			_, err := gateway.ReadBody(context.Background(), reservation, source, bodyBytes, true)
			qt.Check(tb, errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
		})
		_, err := caller.Write([]byte("x"))
		qt.Assert(tb, err, qt.IsNil)
		defer func() { _ = caller.CloseWithError(io.ErrUnexpectedEOF) }()
	}
	return budget.Held()
}

// bufferAnswers returns how many of the answers whose callers all read slowly are buffered, and the size of what is held of all of them.
func bufferAnswers(budget *overload.BodyBudget, answers, answerBytes int) (buffered, heldBytes int) {
	for range answers {
		body, whole := gateway.BufferAnswer(budget.Open("slow"), io.LimitReader(zeros{}, int64(answerBytes)))
		heldBytes += cap(body)
		if whole {
			buffered++
		}
	}
	return buffered, heldBytes
}
