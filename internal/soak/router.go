package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// readyTimeout limits the start of a router.
	readyTimeout = 20 * time.Second
	// readyPoll is the time between two checks whether a router is ready.
	readyPoll = 20 * time.Millisecond
)

// router is a router that is started again after each end of its process.
type router struct {
	name, binary, settingsPath string
	proxy                      *proxy
	process                    *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// startedLine is the log line of a router that has opened its ports.
type startedLine struct {
	Message string `json:"message"`
	Listen  string `json:"listen"`
	Operate string `json:"operate"`
}

// writeSettings writes the settings file of the router, whose ports the kernel chooses.
func (r *router) writeSettings(dir, store string) error {
	anyPort := "127.0.0.1:0"
	encoded, err := json.Marshal(map[string]any{
		"node_name": r.name, "zone": "a", "region": "r", "zones": map[string]string{"a": "r"}, "ip": "127.0.0.1",
		"listen": map[string]string{"front": anyPort, "ready": anyPort}, "internal_port_range": []int{0, 0},
		"limits":   map[string]any{"max_fds": 4096, "memory_mb": 512},
		"bounds":   map[string]any{"grace_s": 8, "retry_budget_ratio": 1, "retry_budget_extra": 1000},
		"platform": map[string]string{"address": store},
	})
	if err != nil {
		return err
	}
	r.settingsPath = filepath.Join(dir, r.name+".json")
	return os.WriteFile(r.settingsPath, encoded, 0o600)
}

// start starts the process and waits until it is ready.
func (r *router) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	r.process = exec.Command(r.binary, "edge", "--settings", r.settingsPath) //nolint:gosec // The caller names the program.
	output, err := r.process.StdoutPipe()
	if err != nil {
		return err
	}
	if err := r.process.Start(); err != nil {
		return err
	}
	r.exited = make(chan struct{})
	started := make(chan startedLine, 1)
	go r.follow(output, started)
	select {
	case line := <-started:
		if err := awaitReady(ctx, line.Operate); err != nil {
			return fmt.Errorf("%s is not ready: %w", r.name, err)
		}
		r.proxy.setUpstream(line.Listen)
		return nil
	case <-r.exited:
		return fmt.Errorf("%s has ended: %v", r.name, r.process.ProcessState)
	case <-ctx.Done():
		return fmt.Errorf("%s has not started: %w", r.name, ctx.Err())
	}
}

// follow reads the log of the process until it ends.
func (r *router) follow(output io.Reader, started chan<- startedLine) {
	lines := bufio.NewReader(output)
	for {
		text, err := lines.ReadBytes('\n')
		var line startedLine
		if json.Unmarshal(text, &line) == nil && line.Message == "started" {
			started <- line
		}
		if err != nil {
			break
		}
	}
	_ = r.process.Wait() // The state of the process tells how it ended.
	close(r.exited)
}

// awaitReady waits until a router answers that it is ready.
func awaitReady(ctx context.Context, address string) error {
	poll := time.NewTicker(readyPoll)
	defer poll.Stop()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/chicorydale/ready", http.NoBody)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close() // Only the status matters.
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// begin begins a fault.
func (r *router) begin(fault Kind) {
	switch fault {
	case Pause:
		r.signal(syscall.SIGSTOP)
	case Kill:
		r.signal(syscall.SIGKILL)
	case Drain:
		r.signal(syscall.SIGTERM)
	default:
		r.proxy.begin(fault)
	}
}

// end ends a fault. A router whose process was to end is started again.
func (r *router) end(ctx context.Context, fault Kind) error {
	switch fault {
	case Pause:
		r.signal(syscall.SIGCONT)
	case Kill, Drain:
		<-r.exited
		return r.start(ctx)
	default:
		r.proxy.end()
	}
	return nil
}

// signal sends a signal to the process.
func (r *router) signal(signal os.Signal) {
	_ = r.process.Process.Signal(signal) // It may have ended.
}

// stop ends the process at once.
func (r *router) stop() {
	if r.exited != nil {
		r.signal(syscall.SIGKILL)
		<-r.exited
	}
	r.proxy.close()
}
