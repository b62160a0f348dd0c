package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// router is one process of the system on a machine of its own, an address of the loopback network.
type router struct {
	name, zone, ip string
	front, ready   string
	settingsPath   string
	logPath        string
	cmd            *exec.Cmd
	ended          chan struct{}
}

const memoryMB = 284

var zoneRegions = map[string]string{"cartago-a": "central-valley", "liberia-a": "guanacaste", "limon-a": "caribe"}

// freePort returns a port of an address that is free now.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// freePorts returns the first of some ports in a row that are free now.
func freePorts(ip string, count int) (int, error) {
	for range 50 {
		first, err := freePort(ip)
		if err != nil || first+count > 65000 {
			continue
		}
		free := true
		for port := first; port < first+count; port++ {
			listener, err := net.Listen("tcp", ip+":"+strconv.Itoa(port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

// newRouter writes the settings of a router, like those of a small deployment.
func newRouter(dir string, number int, zone, storeAddress string) (*router, error) {
	ip := fmt.Sprintf("127.77.0.%d", number)
	first, err := freePorts(ip, 18)
	if err != nil {
		return nil, err
	}
	r := &router{
		name: fmt.Sprintf("edge-%s-%d", zone, number), zone: zone, ip: ip,
		front: fmt.Sprintf("%s:%d", ip, first+16), ready: fmt.Sprintf("%s:%d", ip, first+17),
	}
	settings := map[string]any{
		"node_name": r.name, "role": "edge", "machine_class": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone,
		"region": zoneRegions[zone], "zones": zoneRegions, "listen": map[string]string{"front": r.front, "ready": r.ready},
		"internal_port_range": []int{first, first + 15}, "seed_nodes": []string{}, "bootstrap": true, "counts_toward_tolerance": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": memoryMB, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_ms": 2500,
			"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "max_stretch_ms": 6000,
			"revoke_fail_closed": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_extra": 54,
			"recovery_s": 12, "pass_ms": 250, "reuse_window_s": 10, "quota_window_s": 4,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0,
			"partition_mb_s": 20.0, "read_mb_s": 80.0, "max_record_bytes": 262144, "max_call_bytes": 2097152, "keep_s": 20,
			"partition_mb": 200, "min_ttl_ms": 1000,
		},
	}
	body, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	r.settingsPath, r.logPath = filepath.Join(dir, r.name+".json"), filepath.Join(dir, r.name+".log")
	return r, os.WriteFile(r.settingsPath, body, 0o600)
}

// start starts the process with the command of the deploy file.
func (r *router) start() error {
	log, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.cmd = exec.Command("target/chicorydale", "edge")
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHICORYDALE_SETTINGS=" + r.settingsPath}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}(r.cmd, r.ended)
	return nil
}

// kill ends the process at once.
func (r *router) kill() {
	if r.cmd != nil && r.cmd.Process != nil {
		_ = r.cmd.Process.Kill()
		<-r.ended
	}
}

// awaitReady waits until the platform's check finds the router ready.
func (r *router) awaitReady(until time.Time) error {
	client := &http.Client{Timeout: time.Second}
	for time.Now().Before(until) {
		if response, err := client.Get("http://" + r.ready + "/chicorydale/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New(r.name + " does not get ready")
}

// status returns what the kernel tells of the process.
func (r *router) status() string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return ""
	}
	return string(data)
}
