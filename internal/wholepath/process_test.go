package wholepath_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// process is a program that a test started. It is ended with the test, by its own handle.
type process struct {
	t       *testing.T
	name    string
	command *exec.Cmd
	output  *output
	done    chan struct{}
	// address is for calls.
	address string
}

// start starts one of the two programs.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	started := &process{
		t: t, name: name, command: exec.Command(filepath.Join(binaries, program), args...), output: &output{},
		done: make(chan struct{}),
	}
	started.command.Stdout, started.command.Stderr = started.output, started.output
	qt.Assert(t, started.command.Start(), qt.IsNil)
	processes.add(t, started)
	go func() {
		_ = started.command.Wait() // The state of the process has the outcome.
		processes.remove(started)
		close(started.done)
	}()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", name, started.output.tail(15))
		}
		started.kill()
	})
	return started
}

// emulate starts an emulated system and waits until it listens.
func emulate(t *testing.T, name string, args ...string) *process {
	t.Helper()
	started := start(t, name, "emulator", append(args, "--name", name)...)
	eventually(t, name+" listens", func() bool {
		ready := started.output.find("name", name)
		started.address, _ = ready["address"].(string)
		return started.address != ""
	})
	return started
}

// signal sends a signal to the process.
func (p *process) signal(signal os.Signal) {
	p.t.Helper()
	qt.Assert(p.t, p.command.Process.Signal(signal), qt.IsNil)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill() // It may have ended.
	<-p.done
}

// pause stops the process until resume.
func (p *process) pause() { p.signal(syscall.SIGSTOP) }

// resume lets a paused process go on.
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// ended tells whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// exit waits for the end of the process and returns its exit status.
func (p *process) exit() int {
	p.t.Helper()
	eventually(p.t, p.name+" ends", p.ended)
	return p.command.ProcessState.ExitCode()
}

const (
	// waitLimit bounds the wait for one condition that has no bound of its own.
	waitLimit = 30 * time.Second
	// checkPeriod is the time between two looks at a condition.
	checkPeriod = 10 * time.Millisecond
)

// eventually waits for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	within(t, waitLimit, what, condition)
}

// within waits for a condition that must hold before a limit.
func within(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for late := time.Now().Add(limit); !condition(); <-ticker.C {
		if time.Now().After(late) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// reach waits for an instant of the clock.
func reach(t *testing.T, instant time.Time) {
	t.Helper()
	eventually(t, "the clock reaches "+instant.Format(time.TimeOnly), func() bool { return time.Now().After(instant) })
}
