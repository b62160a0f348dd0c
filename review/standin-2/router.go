package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// router is one process of the project, started as the deploy file says.
type router struct {
	name, front, ready string
	ip                 string
	cmd                *exec.Cmd
	settings           string
	logPath            string
	exited             chan struct{}
}

// freePorts returns an internal port range and two further free ports of an address.
func freePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// freeRange returns the first of a number of neighbouring free ports.
func freeRange(ip string, count int) int {
	for first := 20000 + os.Getpid()%20000; ; first += count {
		free := true
		for port := first; port < first+count && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; free {
				listener.Close()
			}
		}
		if free {
			return first
		}
	}
}

// newRouter writes the settings of a process.
func newRouter(dir, name, ip, zone string, zones map[string]string, storeAddress string) *router {
	first := freeRange(ip, 16)
	r := &router{name: name, ip: ip}
	r.front = fmt.Sprintf("%s:%d", ip, freePort(ip))
	r.ready = fmt.Sprintf("%s:%d", ip, freePort(ip))
	settings := map[string]any{
		"node_name": name, "role": "edge", "machine_class": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone,
		"region": zones[zone], "zones": zones,
		"listen":              map[string]string{"front": r.front, "ready": r.ready},
		"internal_port_range": []int{first, first + 15}, "seed_nodes": []string{}, "bootstrap": true,
		"limits":    map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_ms": 2500,
			"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "max_stretch_ms": 6000,
			"revoke_fail_closed": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_extra": 54,
			"recovery_s": 12, "pass_ms": 250, "reuse_window_s": 10, "quota_window_s": 4,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0,
			"max_record_bytes": 262144, "max_call_bytes": 2097152, "keep_s": 20, "partition_mb": 200, "min_ttl_ms": 1000,
		},
	}
	encoded, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		panic(err)
	}
	r.settings = filepath.Join(dir, name+".json")
	r.logPath = filepath.Join(dir, name+".log")
	if err := os.WriteFile(r.settings, encoded, 0o600); err != nil {
		panic(err)
	}
	return r
}

// start starts the process with the command of the deploy file.
func (r *router) start() error {
	output, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	r.cmd = exec.Command("target/chicorydale", "edge")
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHICORYDALE_SETTINGS=" + r.settings}
	r.cmd.Stdout, r.cmd.Stderr = output, output
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.exited = exited
	cmd := r.cmd
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

// awaitReady waits until the process reports that it is ready.
func (r *router) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + r.ready + "/chicorydale/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v", r.name, limit)
}

func (r *router) signal(signal syscall.Signal) { _ = r.cmd.Process.Signal(signal) }

// kill ends the process and waits for its end.
func (r *router) kill() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	_ = r.cmd.Process.Signal(syscall.SIGKILL)
	<-r.exited
}
