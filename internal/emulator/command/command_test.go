package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/command"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/outside/engineclient"
	"github.com/chicorydale/chicorydale/internal/outside/hostsclient"
	"github.com/chicorydale/chicorydale/internal/outside/serviceclient"
	"github.com/chicorydale/chicorydale/internal/outside/transport"
)

// child is the environment variable that makes the test binary run as the emulator.
const child = "CHICORYDALE_EMULATOR"

func TestMain(m *testing.M) {
	if os.Getenv(child) == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	status := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// start runs the emulator as a process and returns it with its address.
func start(c *qt.C, args ...string) (*exec.Cmd, string) {
	c.Helper()
	process := exec.Command(os.Args[0], args...)
	process.Env = append(os.Environ(), child+"=1")
	process.Stderr = os.Stderr
	stdout, err := process.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(process.Start(), qt.IsNil)
	c.Cleanup(func() { _ = process.Process.Kill() })
	var ready struct{ Name, Role, Address string }
	c.Assert(json.NewDecoder(stdout).Decode(&ready), qt.IsNil)
	c.Assert(ready.Role, qt.Equals, args[0])
	return process, ready.Address
}

// Guards against a crash word that leaves the process alive, a crash that looks like an answer or a refusal, an entry
// that outlives an orderly end, and a booking that a crash takes from the ledger.
func TestProcesses(t *testing.T) {
	c := qt.New(t)
	network := transport.New()
	defer network.Close()
	_, hosts := start(c, "hosts", "--lag", "0s")
	names := func() []string {
		list, err := hostsclient.New(hosts, network).List(t.Context())
		c.Assert(err, qt.IsNil)
		names := make([]string, 0, len(list.Hosts))
		for _, host := range list.Hosts {
			names = append(names, host.Name)
		}
		return names
	}
	deadly, address := start(c, "engine", "--name", "e", "--hosts", hosts, "--crash-word", "boom")
	c.Assert(names(), qt.DeepEquals, []string{"e"})
	client := engineclient.New("e", address, network)
	stream, err := client.Generate(t.Context(), outside.GenerateRequest{StreamID: "a", Prompt: "a boom", MaxTokens: 5})
	c.Assert(err, qt.IsNil)
	_, err = stream.Next()
	var crashed *outside.CrashedError
	c.Assert(errors.As(err, &crashed), qt.IsTrue)
	_ = deadly.Wait()
	c.Assert(deadly.ProcessState.ExitCode(), qt.Equals, 137)
	c.Assert(names(), qt.DeepEquals, []string{"e"})
	_, err = client.LoadReport(t.Context())
	var unavailable *outside.UnavailableError
	c.Assert(errors.As(err, &unavailable), qt.IsTrue)

	ledger := filepath.Join(t.TempDir(), "ledger")
	service := []string{"service", "--name", "s", "--hosts", hosts, "--ledger", ledger, "--crash-word", "boom"}
	deadly, address = start(c, service...)
	_, err = serviceclient.New("s", address, network).Invoke(t.Context(), outside.InvokeRequest{
		Operation: "book", IdempotencyKey: "k", Arguments: map[string]string{"item": "boom"},
	})
	c.Assert(errors.As(err, &crashed), qt.IsTrue)
	_ = deadly.Wait()
	again, address := start(c, service...)
	var bookings struct{ Counts map[string]int }
	get := transport.Request{System: "s", Address: address, Method: "GET", Path: "/bookings"}
	c.Assert(network.DoJSON(t.Context(), get, 1<<10, &bookings), qt.IsNil)
	c.Assert(bookings.Counts, qt.DeepEquals, map[string]int{"k": 1})
	c.Assert(again.Process.Signal(syscall.SIGTERM), qt.IsNil)
	c.Assert(again.Wait(), qt.IsNil)
	c.Assert(names(), qt.DeepEquals, []string{"e"})
}

// Guards against a register command that does not change the list, and a wrong command line that succeeds.
func TestRegister(t *testing.T) {
	c := qt.New(t)
	network := transport.New()
	defer network.Close()
	_, hosts := start(c, "hosts", "--lag", "0s")
	list := hostsclient.New(hosts, network)
	router := outside.Host{Name: "r", Role: outside.RoleRouter, Zone: "z", Address: "a:1", LinkAddress: "a:2"}
	gone := router
	gone.Leaving = true
	for _, step := range []struct {
		args []string
		want []outside.Host
	}{
		{[]string{"--zone", "z", "--address", "a:1", "--link", "a:2"}, []outside.Host{router}},
		{[]string{"--leaving"}, []outside.Host{gone}},
		{[]string{"--remove"}, []outside.Host{}},
	} {
		args := append([]string{"register", "--hosts", hosts, "--name", "r"}, step.args...)
		c.Assert(command.Run(t.Context(), args, io.Discard, os.Stderr), qt.Equals, 0)
		shown, err := list.List(t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(shown.Hosts, qt.DeepEquals, step.want)
	}
	var stderr bytes.Buffer
	c.Assert(command.Run(t.Context(), []string{"bogus"}, io.Discard, &stderr), qt.Equals, 1)
	c.Assert(stderr.String(), qt.Contains, "bogus")
}

// Guards against a target that ends without a leaving mark although it has a grace time.
func TestGrace(t *testing.T) {
	c := qt.New(t)
	requests := make(chan string, 10)
	hosts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.Method + " " + r.URL.Path
		w.WriteHeader(http.StatusNoContent)
	}))
	defer hosts.Close()
	process, _ := start(c, "engine", "--name", "e", "--hosts", hosts.Listener.Addr().String(), "--grace", "1ms")
	c.Assert(process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	c.Assert(process.Wait(), qt.IsNil)
	hosts.Close()
	close(requests)
	for _, want := range []string{"PUT /hosts/e", "POST /hosts/e/leaving", "DELETE /hosts/e"} {
		c.Assert(<-requests, qt.Equals, want)
	}
}
