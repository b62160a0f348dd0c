package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of a machine.
const (
	frontPort    = 8783
	readyPort    = 8780
	controlPort  = 8785
	internalPort = 7400
	storePort    = 8781
	memoryMB     = 284
)

// router is one router process.
type router struct {
	w             *world
	name, ip      string
	settingsFile  string
	env           []string
	mu            sync.Mutex
	process       *exec.Cmd
	ended         chan struct{}
	killed        bool
	log           *os.File
	front, readyz string
}

// zoneRegions are the zones of the deployment.
var zoneRegions = map[string]string{"kochi-a": "kochi", "thrissur-a": "thrissur", "kozhikode-a": "kozhikode"}

// newRouter writes the settings of a router. host is the last byte of its address, store the address of the store as it sees it.
func (w *world) newRouter(host int, zone, store string, env ...string) *router {
	ip := w.ip + strconv.Itoa(host)
	r := &router{
		w: w, name: fmt.Sprintf("edge-%s-%d", zone, host), ip: ip, env: env,
		front: fmt.Sprintf("%s:%d", ip, frontPort), readyz: fmt.Sprintf("%s:%d", ip, readyPort),
	}
	settings := map[string]any{
		"node_name": r.name, "role": "edge", "machine_class": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone,
		"region": zoneRegions[zone], "zones": zoneRegions,
		"listen":              map[string]string{"front": r.front, "ready": r.readyz, "control": fmt.Sprintf("%s:%d", ip, controlPort)},
		"internal_port_range": []int{internalPort, internalPort + 15}, "seed_nodes": []string{}, "bootstrap": true,
		"counts_toward_tolerance": false,
		"limits": map[string]any{
			"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0,
		},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_ms": 2500,
			"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "max_stretch_ms": 6000,
			"revoke_fail_closed": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_extra": 58,
			"recovery_s": 12, "pass_ms": 250, "reuse_window_s": 10, "quota_window_s": 4,
		},
		"platform": map[string]any{
			"address": store, "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0,
			"partition_mb_s": 20.0, "read_mb_s": 80.0, "max_record_bytes": 262144, "max_call_bytes": 2097152, "keep_s": 300,
			"partition_mb": 200, "min_ttl_ms": 1000,
		},
	}
	encoded, err := json.MarshalIndent(settings, "", "  ")
	check(err)
	r.settingsFile = filepath.Join(w.dir, r.name+".json")
	check(os.WriteFile(r.settingsFile, encoded, 0o600))
	w.routers = append(w.routers, r)
	return r
}

// command returns the words of run in the deploy file.
func (w *world) command() []string {
	data, err := os.ReadFile(filepath.Join(w.root, "deploy", "system.toml"))
	check(err)
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "run = "); found {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
		}
	}
	check(fmt.Errorf("the deploy file has no run"))
	return nil
}

// start starts the process.
func (r *router) start() {
	words := r.w.command()
	log, err := os.OpenFile(filepath.Join(r.w.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	command := exec.Command(filepath.Join(r.w.root, words[0]), words[1:]...)
	command.Dir = r.w.root
	command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "CHICORYDALE_SETTINGS=" + r.settingsFile}, r.env...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(command.Start())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.process, r.ended, r.log, r.killed = command, make(chan struct{}), log, false
	ended := r.ended
	go func() {
		err := command.Wait()
		r.w.logf("%s has ended: %v", r.name, err)
		_ = log.Close()
		close(ended)
	}()
	r.w.logf("%s starts", r.name)
}

// signal sends a signal to the process.
func (r *router) signal(signal syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process == nil {
		return
	}
	r.w.logf("%s gets %v", r.name, signal)
	_ = r.process.Process.Signal(signal)
}

// kill ends the process.
func (r *router) kill() {
	r.mu.Lock()
	ended, process := r.ended, r.process
	r.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(syscall.SIGKILL)
	<-ended
}

// awaitReady waits until the readiness check succeeds.
func (r *router) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for range 200 {
		response, err := client.Get("http://" + r.readyz + "/chicorydale/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				r.w.logf("%s is ready", r.name)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	check(fmt.Errorf("%s is not ready after 10 s", r.name))
}

// residentMB returns the resident memory of the process in MiB, 0 if it has ended.
func (r *router) residentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}
