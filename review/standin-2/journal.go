package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// journal is the record of a case: what was sent, answered and run.
type journal struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newJournal(path string) (*journal, error) {
	file, err := os.Create(path)
	return &journal{file: file, started: time.Now()}, err
}

// line writes a line with the seconds since the start.
func (j *journal) line(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(j.file, "%9.4f %s\n", time.Since(j.started).Seconds(), fmt.Sprintf(format, args...))
}
