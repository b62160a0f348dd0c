package slope

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
	// startLimit bounds the start of one router process.
	startLimit = 20 * time.Second
	// ticksPerSecond is the unit of processor times in /proc, which Linux fixes at 100 for programs.
	ticksPerSecond = 100
)

// process is one router process.
type process struct {
	command *exec.Cmd
	listen  string
	operate string
	link    string
}

// started is the part of the log event "started" that is read.
type started struct {
	Message string `json:"message"`
	Listen  string `json:"listen"`
	Operate string `json:"operate"`
	Link    string `json:"link"`
}

// startProcess starts a router with a settings file and waits until it listens.
func startProcess(ctx context.Context, binary, settings string) (*process, error) {
	command := exec.CommandContext(ctx, binary, "serve", "--settings", settings) //nolint:gosec // The operator names it.
	output, err := command.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{command: command}
	found := make(chan started, 1)
	go func() { scan(output, found) }()
	select {
	case event := <-found:
		p.listen, p.operate, p.link = event.Listen, event.Operate, event.Link
		return p, nil
	case <-time.After(startLimit):
		return nil, errors.Join(errors.New("a router has not started in time"), p.stop())
	}
}

// scan finds the event "started" in a log and drops the rest.
func scan(log io.Reader, found chan<- started) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var event started
		if json.Unmarshal(lines.Bytes(), &event) == nil && event.Message == "started" {
			found <- event
		}
	}
}

// stop ends the process.
func (p *process) stop() error {
	if err := p.command.Process.Kill(); err != nil {
		return err
	}
	_ = p.command.Wait() // A killed process has no other end.
	return nil
}

// sample is the cost of one process so far.
type sample struct {
	at      time.Time
	cpu     float64
	rss     float64
	control float64
	cross   float64
}

// sample reads the cost of the process: seconds of processor time, bytes of memory, bytes of control sent.
func (p *process) sample(ctx context.Context) (sample, error) {
	s := sample{at: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return s, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	s.cpu = (user + system) / ticksPerSecond
	s.rss = pages * float64(os.Getpagesize())
	s.control, s.cross, err = p.traffic(ctx)
	return s, err
}

// traffic reads the counters of control bytes.
func (p *process) traffic(ctx context.Context) (control, cross float64, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.operate+"/metrics", nil)
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
