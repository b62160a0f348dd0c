package gateway

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// readProbe measures how late this process handles data that arrives: it writes to a pipe and measures the time until the byte is read. The
// delay of timers and of new goroutines tells less, because the scheduler of the runtime runs them before what waits for the network. It is
// safe for concurrent use.
type readProbe struct {
	mu sync.Mutex
	// reader and writer are the ends of the pipe, nil until the probe is opened.
	reader, writer *os.File
	// sentAt is the time at which a byte was sent that was not read yet, zero if there is none.
	sentAt time.Time
	// last is the delay of the last byte that was read.
	last time.Duration
}

// open opens the pipe and begins to read it. The delay is zero before. The caller must close the probe.
func (p *readProbe) open() error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return fmt.Errorf("open pipe: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reader, p.writer = reader, writer
	go p.receive(reader)
	return nil
}

// receive reads the bytes that are sent until the probe is closed.
func (p *readProbe) receive(reader *os.File) {
	buffer := make([]byte, 1)
	for {
		if _, err := reader.Read(buffer); err != nil {
			return // The probe was closed.
		}
		p.received(time.Now())
	}
}

// send sends a byte, unless the last one was not read yet.
func (p *readProbe) send(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writer == nil || !p.sentAt.IsZero() {
		return
	}
	if _, err := p.writer.Write([]byte{0}); err == nil {
		p.sentAt = now
	}
}

// received records that the last byte was read.
func (p *readProbe) received(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last, p.sentAt = now.Sub(p.sentAt), time.Time{}
}

// delay returns how late the process handles data now: the delay of the last byte, or of one that still waits.
func (p *readProbe) delay(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sentAt.IsZero() {
		return p.last
	}
	return max(p.last, now.Sub(p.sentAt))
}

// close ends the probe. Its delay stays as it was.
func (p *readProbe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.writer.Close() // Nothing is lost with the pipe.
	_ = p.reader.Close()
}
