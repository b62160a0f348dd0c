package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// journal writes record.txt: what was sent, answered and run. It is safe for concurrent use.
type journal struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func openJournal(path string) (*journal, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{file: file, started: time.Now()}, nil
}

// since returns the seconds from the start of the case.
func (j *journal) since(t time.Time) float64 { return t.Sub(j.started).Seconds() }

// line writes a line with the time to the record.
func (j *journal) line(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.file, "%8.3f s  %s\n", j.since(time.Now()), fmt.Sprintf(format, args...))
}

// event writes a line to the record and to standard output.
func (j *journal) event(format string, args ...any) {
	j.line(format, args...)
	fmt.Printf("%8.3f s  %s\n", j.since(time.Now()), fmt.Sprintf(format, args...))
}
