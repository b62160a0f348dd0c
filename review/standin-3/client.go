package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const hostName = "ficu95.example"

var lastRequest atomic.Int64

// answer is what a client got. The status is 0 if the channel ended without an answer.
type answer struct {
	id       string
	status   int
	body     string
	err      error
	sentAt   time.Time
	answered time.Time
}

// request is what a client sends.
type request struct {
	method, path, key string
	body              string
	deadline          time.Duration
	header            map[string]string
}

var transport = &http.Transport{
	DisableKeepAlives: true, DisableCompression: true,
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
}

// send sends a request on a new channel and waits for the answer until the deadline.
func send(j *journal, front string, q request) answer {
	id := fmt.Sprintf("%016x", 0x1c41d07be2000000+lastRequest.Add(1))
	sent := answer{id: id, sentAt: time.Now()}
	r, err := http.NewRequest(q.method, "http://"+front+q.path, strings.NewReader(q.body))
	if err != nil {
		sent.err = err
		return sent
	}
	r.Host = hostName
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		r.Header.Set("X-Credential", q.key)
	}
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	j.line("sent %s %s %s to %s", id, q.method, q.path, front)
	client := &http.Client{Transport: transport, Timeout: q.deadline}
	response, err := client.Do(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		sent.status, sent.body = response.StatusCode, string(body)
	}
	sent.err, sent.answered = err, time.Now()
	j.line("answered %s: status %d, %d bytes, error %v, after %d ms", id, sent.status, len(sent.body), err, sent.answered.Sub(sent.sentAt).Milliseconds())
	return sent
}
