package e2e_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"slices"
	"syscall"
	"testing"
	"time"
)

// binaryDir is the directory of the built router and emulator binaries.
var binaryDir string

// processes tracks the processes of all running tests.
var processes processRegistry

// TestMain builds the programs and ensures that no process outlives the tests, even if they are interrupted or exceed the
// timeout of the test run. In these cases the cleanup functions of the tests are not called.
func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "wholepath")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaryDir = dir
	exitCode := 1
	if err := buildPrograms(); err == nil {
		killProcessesOnInterruptOrTimeout()
		exitCode = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, "build the router and the emulator:", err)
	}
	processes.killAll()
	_ = os.RemoveAll(dir)
	os.Exit(exitCode)
}

// buildPrograms builds the router and the emulator into binaryDir, with the race detector if the tests were built with it.
func buildPrograms() error {
	repositoryRoot := filepath.Join("..", "..")
	args := []string{"build", "-o", binaryDir + "/"}
	if info, ok := debug.ReadBuildInfo(); ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"}) {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, ".", "./cmd/emulator")...)
	cmd.Dir = repositoryRoot
	cmd.Stderr = os.Stderr
	return cmd.Run()
}

// killProcessesOnInterruptOrTimeout starts a goroutine that kills all processes on SIGINT or SIGTERM, and shortly before the
// timeout of the test run.
func killProcessesOnInterruptOrTimeout() {
	// killMargin is the time between the kill and the timeout.
	const killMargin = 2 * time.Second
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	var nearTimeout <-chan time.Time
	if timeout, ok := flag.Lookup("test.timeout").Value.(flag.Getter).Get().(time.Duration); ok && timeout > killMargin {
		nearTimeout = time.After(timeout - killMargin)
	}
	go func() {
		select {
		case <-signals:
			processes.killAll()
			_ = os.RemoveAll(binaryDir)
			os.Exit(1)
		case <-nearTimeout:
			processes.killAll()
		}
	}()
}
