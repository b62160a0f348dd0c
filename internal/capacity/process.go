package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

const (
	// startTimeout bounds the start of a router process.
	startTimeout = 20 * time.Second
	// ticksPerSecond is the number of clock ticks per second that processor times in /proc count in. Linux fixes it at
	// 100 for programs.
	ticksPerSecond = 100
)

// routerProcess is a running router and its addresses.
type routerProcess struct {
	command        *exec.Cmd
	listenAddress  string
	operateAddress string
	linkAddress    string
}

// startedEvent holds the fields that are read from the log event "started".
type startedEvent struct {
	Message string `json:"message"`
	Listen  string `json:"listen"`
	Operate string `json:"operate"`
	Link    string `json:"link"`
}

// startProcess starts a router with a settings file and waits until it has logged its addresses.
func startProcess(ctx context.Context, binary, settings string) (*routerProcess, error) {
	command := exec.CommandContext(ctx, binary, "serve", "--settings", settings) //nolint:gosec // The operator names it.
	output, err := command.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &routerProcess{command: command}
	found := make(chan startedEvent, 1)
	go func() { findStartedEvent(output, found) }()
	select {
	case event := <-found:
		p.listenAddress, p.operateAddress, p.linkAddress = event.Listen, event.Operate, event.Link
		return p, nil
	case <-time.After(startTimeout):
		return nil, errors.Join(errors.New("the router process has not logged its start in time"), p.stop())
	}
}

// findStartedEvent sends the event "started" from a log to found, and discards the rest of the log so that the process
// does not block.
func findStartedEvent(log io.Reader, found chan<- startedEvent) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var event startedEvent
		if json.Unmarshal(lines.Bytes(), &event) == nil && event.Message == "started" {
			found <- event
		}
	}
}

// stop kills the process and waits until it has ended.
func (p *routerProcess) stop() error {
	if err := p.command.Process.Kill(); err != nil {
		return err
	}
	_ = p.command.Wait() // The error only says that the process was killed.
	return nil
}

// resourceSample is the resource use of one process since its start.
type resourceSample struct {
	at               time.Time
	cpuSeconds       float64
	residentBytes    float64
	controlBytes     float64
	crossRegionBytes float64
}

// readSample reads the resource use of the process: processor time in seconds, resident memory and sent control traffic
// in bytes.
func (p *routerProcess) readSample(ctx context.Context) (resourceSample, error) {
	s := resourceSample{at: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return s, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	s.cpuSeconds = (user + system) / ticksPerSecond
	s.residentBytes = pages * float64(os.Getpagesize())
	s.controlBytes, s.crossRegionBytes, err = p.readControlBytes(ctx)
	return s, err
}

// readControlBytes reads the counters of control traffic from the process's metrics.
func (p *routerProcess) readControlBytes(ctx context.Context) (control, cross float64, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.operateAddress+"/metrics", nil)
	if err != nil {
		return 0, 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close() //nolint:errcheck // The body is read to its end.
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if rest, found := strings.CutPrefix(lines.Text(), "chicorydale_control_bytes_total "); found {
			control, _ = strconv.ParseFloat(rest, 64)
		}
		if rest, found := strings.CutPrefix(lines.Text(), "chicorydale_control_cross_bytes_total "); found {
			cross, _ = strconv.ParseFloat(rest, 64)
		}
	}
	return control, cross, lines.Err()
}
