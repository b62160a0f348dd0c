package wholepath_test

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

// binaries is the folder of the two programs.
var binaries string

// processes has the processes of all tests that run.
var processes registry

// TestMain builds the programs and makes sure that no process outlives the tests, also if they are interrupted or run
// into the time limit of the test run, where the cleanup functions of the tests are not called.
func TestMain(m *testing.M) {
	flag.Parse()
	folder, err := os.MkdirTemp("", "wholepath")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = folder
	status := 1
	if err := build(); err == nil {
		guard()
		status = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, "build:", err)
	}
	processes.killAll()
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

// build builds the router and the emulator, with the race detector if the tests have it.
func build() error {
	root := filepath.Join("..", "..")
	args := []string{"build", "-o", binaries + "/"}
	if info, ok := debug.ReadBuildInfo(); ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"}) {
		args = append(args, "-race")
	}
	command := exec.Command("go", append(args, ".", "./cmd/emulator")...)
	command.Dir = root
	command.Stderr = os.Stderr
	return command.Run()
}

// guard ends all processes on a signal and shortly before the time limit of the test run.
func guard() {
	const margin = 2 * time.Second
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	var late <-chan time.Time
	if limit, ok := flag.Lookup("test.timeout").Value.(flag.Getter).Get().(time.Duration); ok && limit > margin {
		late = time.After(limit - margin)
	}
	go func() {
		select {
		case <-stop:
			processes.killAll()
			_ = os.RemoveAll(binaries)
			os.Exit(1)
		case <-late:
			processes.killAll()
		}
	}()
}
