package e2e_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// process is a program that a test started. It is killed when the test ends, through its own process handle.
type process struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	output *output
	exited chan struct{}
	// address is the address that the program listens on for requests; empty until it is known.
	address string
}

// startProcess starts a program of binaryDir and kills it at the end of the test. A failed test logs the end of its output.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{
		t: t, name: name, cmd: exec.Command(filepath.Join(binaryDir, program), args...), output: &output{},
		exited: make(chan struct{}),
	}
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	qt.Assert(t, p.cmd.Start(), qt.IsNil)
	processes.add(t, p)
	go func() {
		_ = p.cmd.Wait() // The exit code is read from the process state.
		processes.remove(p)
		close(p.exited)
	}()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("last lines of the output of %s:\n%s", name, p.output.lastLines(15))
		}
		p.kill()
	})
	return p
}

// startEmulator starts an emulated system and waits until it reports the address that it listens on.
func startEmulator(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := startProcess(t, name, "emulator", append(args, "--name", name)...)
	eventually(t, name+" listens", func() bool {
		listening := p.output.findLine("name", name)
		p.address, _ = listening["address"].(string)
		return p.address != ""
	})
	return p
}

// signal sends a signal to the process.
func (p *process) signal(signal os.Signal) {
	p.t.Helper()
	qt.Assert(p.t, p.cmd.Process.Signal(signal), qt.IsNil)
}

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // It may have exited already.
	<-p.exited
}

// pause suspends the process until resume is called.
func (p *process) pause() { p.signal(syscall.SIGSTOP) }

// resume continues a paused process.
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// waitExitCode waits until the process has exited and returns its exit code.
func (p *process) waitExitCode() int {
	p.t.Helper()
	eventually(p.t, p.name+" exits", p.hasExited)
	return p.cmd.ProcessState.ExitCode()
}

const (
	// defaultTimeout is the longest wait for a condition that has no time limit of its own.
	defaultTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 10 * time.Millisecond
)

// eventually waits until the condition holds. It fails the test after defaultTimeout.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	eventuallyWithin(t, defaultTimeout, description, condition)
}

// eventuallyWithin waits until the condition holds. It fails the test after the timeout.
func eventuallyWithin(t *testing.T, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(timeout); !condition(); <-ticker.C {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", timeout, description)
		}
	}
}

// waitUntil waits until the given time.
func waitUntil(t *testing.T, instant time.Time) {
	t.Helper()
	eventually(t, "the clock reaches "+instant.Format(time.TimeOnly), func() bool { return time.Now().After(instant) })
}
