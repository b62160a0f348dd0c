package cmd_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"strconv"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chicorydale/chicorydale/internal/cmd"
	"github.com/chicorydale/chicorydale/internal/settings"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"chicorydale": func() { os.Exit(cmd.Main(os.Args[1:], cmd.Programs{RunRouter: fakeRunRouter})) },
	})
}

// fakeRunRouter replaces the router. It prints some settings, sends SIGTERM to its own process and returns when the context
// ends. With the seed 13, it fails as if the port were in use.
func fakeRunRouter(ctx context.Context, s settings.Settings) error {
	fmt.Println("serving", s.Host(), s.TickPeriod())
	if s.Seed() == 13 {
		return fmt.Errorf("listen %s: address in use", s.ListenAddr())
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		return err
	}
	<-ctx.Done()
	fmt.Println("drained")
	return nil
}

// TestScripts guards against commands whose output, refusals or exit codes differ from docs/cli.md. The comments in the
// scripts say which failure each part guards against.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			handler, err := newFakeRouter().handler()
			if err != nil {
				return err
			}
			server := httptest.NewServer(handler)
			env.Defer(server.Close)
			closed, err := closedAddress(env)
			if err != nil {
				return err
			}
			env.Setenv("ROUTER", server.Listener.Addr().String())
			env.Setenv("CLOSED", closed)
			env.Setenv("CHICORYDALE_KEY", "operator")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"code": checkExitCode},
	})
}

// closedAddress returns an address that refuses connections. The port stays bound without a listener until the script
// ends, so that no other process can listen on it.
func closedAddress(env *testscript.Env) (string, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", err
	}
	env.Defer(func() { _ = syscall.Close(socket) })
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", err
	}
	sockaddr, err := syscall.Getsockname(socket)
	if err != nil {
		return "", err
	}
	return "127.0.0.1:" + strconv.Itoa(sockaddr.(*syscall.SockaddrInet4).Port), nil
}

// checkExitCode implements the script command "code NUMBER COMMAND...", which runs a command and compares its exit code.
func checkExitCode(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[0])
	if err != nil || neg {
		ts.Fatalf("usage: code NUMBER COMMAND...")
	}
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		_, scanErr := fmt.Sscanf(err.Error(), "exit status %d", &got)
		ts.Check(scanErr)
	}
	if got != want {
		ts.Fatalf("exit code is %d, want %d", got, want)
	}
}

// TestDocumentedCommands guards against commands and flags that are missing in docs/cli.md.
func TestDocumentedCommands(t *testing.T) {
	page, err := os.ReadFile("../../docs/cli.md")
	qt.Assert(t, err, qt.IsNil)
	for _, name := range cmd.CommandAndFlagNames() {
		qt.Check(t, string(page), qt.Contains, "`"+name)
	}
}
