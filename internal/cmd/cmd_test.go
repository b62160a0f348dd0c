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
		"chicorydale": func() { os.Exit(cmd.Main(os.Args[1:], cmd.Programs{RunRouter: serve})) },
	})
}

// serve stands in for the router: it prints its settings and ends as the signal of a graceful shutdown comes.
func serve(ctx context.Context, s settings.Settings) error {
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

// TestScripts guards against commands whose output, refusals or exit codes differ from docs/cli.md. The scripts say what
// each one guards against.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			handler, err := newFake().handler()
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
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"code": code},
	})
}

// closedAddress returns an address that refuses connections. Its port stays bound until the script ends, so that no other
// process listens there.
func closedAddress(env *testscript.Env) (string, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", err
	}
	env.Defer(func() { _ = syscall.Close(socket) })
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", err
	}
	name, err := syscall.Getsockname(socket)
	if err != nil {
		return "", err
	}
	return "127.0.0.1:" + strconv.Itoa(name.(*syscall.SockaddrInet4).Port), nil
}

// code runs a command and compares its exit code: code NUMBER COMMAND...
func code(ts *testscript.TestScript, neg bool, args []string) {
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
		ts.Fatalf("the exit code is %d, not %d", got, want)
	}
}

// TestPage guards against a command or flag that docs/cli.md does not list.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/cli.md")
	qt.Assert(t, err, qt.IsNil)
	for _, name := range cmd.Names() {
		qt.Check(t, string(page), qt.Contains, "`"+name)
	}
}
