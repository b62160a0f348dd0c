package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replica is a server behind the routers.
type replica struct {
	w                           *world
	id, service, zone, software string
	address                     string
	slots                       int
	// serve answers a request that the replica runs. It returns false if the connection has to be closed.
	serve func(r *replica, conn net.Conn, request *http.Request, body []byte) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	sequence int
	state    string
	alive    bool
	// registered is set while the replica writes its record.
	registered chan struct{}
	runs       []runRecord
}

// runRecord is a request that a replica has run.
type runRecord struct {
	at         time.Time
	id, key    string
	tenant     string
	software   string
	lastEvent  string
	replicaID  string
	requestURI string
}

// newReplica returns a replica that has not started.
func (w *world) newReplica(host int, id, service, zone, software string, slots int) *replica {
	return &replica{
		w: w, id: id, service: service, zone: zone, software: software, slots: slots,
		address: w.ip + strconv.Itoa(host) + ":8080", serve: answerShort,
	}
}

// start begins to listen and then to write the record in the store every 1.2 s.
func (r *replica) start() {
	listener, err := net.Listen("tcp", r.address)
	check(err)
	r.mu.Lock()
	r.listener, r.conns, r.born, r.sequence, r.state, r.alive = listener, make(map[net.Conn]bool), time.Now().UnixMilli(), 0, "ready", true
	stop := make(chan struct{})
	r.registered = stop
	r.mu.Unlock()
	r.w.logf("replica %s (%s %s) starts", r.id, r.service, r.software)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[conn] = true
			r.mu.Unlock()
			go r.handle(conn)
		}
	}()
	go func() {
		for {
			r.writeRecord()
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
}

// heartbeat is the time between two records of a replica.
const heartbeat = 1200 * time.Millisecond

// writeRecord writes the record of the replica.
func (r *replica) writeRecord() {
	r.mu.Lock()
	if !r.alive {
		r.mu.Unlock()
		return
	}
	r.sequence++
	record := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.software, "slots": r.slots, "state": r.state,
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	}
	r.mu.Unlock()
	r.w.store.putJSON("keyed.servers", r.id, record)
}

// crash ends the replica as a crash of its process does: it accepts nothing any more and its connections end.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.logf("replica %s (%s) crashes", r.id, r.software)
	r.alive = false
	close(r.registered)
	_ = r.listener.Close()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// handle serves the requests on a connection.
func (r *replica) handle(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if expected := request.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
			r.w.logf("replica %s: %s is for %s, 421", r.id, id, expected)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Replica-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id, r.id)
			continue
		}
		run := runRecord{
			at: time.Now(), id: id, tenant: request.Header.Get("X-Tenant"), software: r.software, replicaID: r.id,
			lastEvent: request.Header.Get("Last-Event-Id"), requestURI: request.RequestURI,
		}
		r.mu.Lock()
		r.runs = append(r.runs, run)
		r.mu.Unlock()
		r.w.logf("replica %s (%s) runs %s of %q after event %q", r.id, r.software, id, run.tenant, run.lastEvent)
		if !r.serve(r, conn, request, body) {
			return
		}
	}
}

// allRuns returns what the replica has run so far.
func (r *replica) allRuns() []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]runRecord(nil), r.runs...)
}

// answerShort answers with 800 bytes after 5 ms.
func answerShort(r *replica, conn net.Conn, request *http.Request, _ []byte) bool {
	time.Sleep(5 * time.Millisecond)
	return r.answer(conn, request.Header.Get("X-Attempt-Id"))
}

// answer writes a success with 800 bytes.
func (r *replica) answer(conn net.Conn, id string) bool {
	body := make([]byte, 800)
	copy(body, id)
	for i := len(id); i < len(body); i++ {
		body[i] = 'x'
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: s-%s-%s\r\nX-Replica-Load: 1,0,%d\r\nContent-Length: %d\r\n\r\n%s",
		id, r.id, id, r.slots, len(body), body)
	return err == nil
}
