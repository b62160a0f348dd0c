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
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/engineclient"
	"github.com/chicorydale/chicorydale/internal/external/hostsclient"
	"github.com/chicorydale/chicorydale/internal/external/serviceclient"
	"github.com/chicorydale/chicorydale/internal/external/transport"
)

// childEnv is the environment variable that makes the test binary run as the emulator.
const childEnv = "CHICORYDALE_EMULATOR"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	status := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// startProcess runs the emulator as a process, waits until it is ready, and returns it with its address. The test kills it at
// its end.
func startProcess(c *qt.C, args ...string) (*exec.Cmd, string) {
	c.Helper()
	process := exec.Command(os.Args[0], args...)
	process.Env = append(os.Environ(), childEnv+"=1")
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

// Guards against a crash word that does not end the process, a crash that the client takes for a response or a refusal, an
// entry in the host list that remains after an orderly shutdown, and a booking that is missing from the ledger after a crash.
func TestCrashAndShutdown(t *testing.T) {
	c := qt.New(t)
	httpClient := transport.New()
	defer httpClient.Close()
	_, hosts := startProcess(c, "hosts", "--lag", "0s")
	names := func() []string {
		list, err := hostsclient.New(hosts, httpClient).List(t.Context())
		c.Assert(err, qt.IsNil)
		names := make([]string, 0, len(list.Hosts))
		for _, host := range list.Hosts {
			names = append(names, host.Name)
		}
		return names
	}
	crashing, address := startProcess(c, "engine", "--name", "e", "--hosts", hosts, "--crash-word", "boom")
	c.Assert(names(), qt.DeepEquals, []string{"e"})
	client := engineclient.New("e", address, httpClient)
	stream, err := client.Generate(t.Context(), external.GenerateRequest{StreamID: "a", Prompt: "a boom", MaxTokens: 5})
	c.Assert(err, qt.IsNil)
	_, err = stream.Next()
	var crashed *external.CrashedError
	c.Assert(errors.As(err, &crashed), qt.IsTrue)
	_ = crashing.Wait()
	c.Assert(crashing.ProcessState.ExitCode(), qt.Equals, 137)
	c.Assert(names(), qt.DeepEquals, []string{"e"})
	_, err = client.LoadReport(t.Context())
	var unavailable *external.UnavailableError
	c.Assert(errors.As(err, &unavailable), qt.IsTrue)

	ledger := filepath.Join(t.TempDir(), "ledger")
	serviceArgs := []string{"service", "--name", "s", "--hosts", hosts, "--ledger", ledger, "--crash-word", "boom"}
	crashing, address = startProcess(c, serviceArgs...)
	_, err = serviceclient.New("s", address, httpClient).Invoke(t.Context(), external.InvokeRequest{
		Operation: "book", IdempotencyKey: "k", Arguments: map[string]string{"item": "boom"},
	})
	c.Assert(errors.As(err, &crashed), qt.IsTrue)
	_ = crashing.Wait()
	restarted, address := startProcess(c, serviceArgs...)
	var bookings struct{ Counts map[string]int }
	bookingsRequest := transport.Request{System: "s", Address: address, Method: "GET", Path: "/bookings"}
	c.Assert(httpClient.DoJSON(t.Context(), bookingsRequest, 1<<10, &bookings), qt.IsNil)
	c.Assert(bookings.Counts, qt.DeepEquals, map[string]int{"k": 1})
	c.Assert(restarted.Process.Signal(syscall.SIGTERM), qt.IsNil)
	c.Assert(restarted.Wait(), qt.IsNil)
	c.Assert(names(), qt.DeepEquals, []string{"e"})
}

// Guards against a register command that does not change the host list, and an invalid command line that exits with status 0.
func TestRegister(t *testing.T) {
	c := qt.New(t)
	httpClient := transport.New()
	defer httpClient.Close()
	_, hosts := startProcess(c, "hosts", "--lag", "0s")
	list := hostsclient.New(hosts, httpClient)
	router := external.Host{Name: "r", Role: external.RoleRouter, Zone: "z", Address: "a:1", LinkAddress: "a:2"}
	leaving := router
	leaving.Leaving = true
	for _, step := range []struct {
		args []string
		want []external.Host
	}{
		{[]string{"--zone", "z", "--address", "a:1", "--link", "a:2"}, []external.Host{router}},
		{[]string{"--leaving"}, []external.Host{leaving}},
		{[]string{"--remove"}, []external.Host{}},
	} {
		args := append([]string{"register", "--hosts", hosts, "--name", "r"}, step.args...)
		c.Assert(command.Run(t.Context(), args, io.Discard, os.Stderr), qt.Equals, 0)
		published, err := list.List(t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(published.Hosts, qt.DeepEquals, step.want)
	}
	var stderr bytes.Buffer
	c.Assert(command.Run(t.Context(), []string{"bogus"}, io.Discard, &stderr), qt.Equals, 1)
	c.Assert(stderr.String(), qt.Contains, "bogus")
}

// Guards against a target with a grace period that is removed from the host list without being marked as leaving first.
func TestGracePeriod(t *testing.T) {
	c := qt.New(t)
	requests := make(chan string, 10)
	hosts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.Method + " " + r.URL.Path
		w.WriteHeader(http.StatusNoContent)
	}))
	defer hosts.Close()
	process, _ := startProcess(c, "engine", "--name", "e", "--hosts", hosts.Listener.Addr().String(), "--grace", "1ms")
	c.Assert(process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	c.Assert(process.Wait(), qt.IsNil)
	hosts.Close()
	close(requests)
	for _, want := range []string{"PUT /hosts/e", "POST /hosts/e/leaving", "DELETE /hosts/e"} {
		c.Assert(<-requests, qt.Equals, want)
	}
}
