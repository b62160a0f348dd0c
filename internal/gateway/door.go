package gateway

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/overload"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// earlyBytes bounds the size of requests that are refused early.
const earlyBytes = 32 << 10

// door refuses requests cheaply, on the first read of their connections, while the process is behind.
type door struct {
	gateway *Gateway
	buffers sync.Pool

	mu    sync.Mutex
	guard *overload.Guard
}

// newDoor returns the door of a gateway.
func newDoor(g *Gateway) *door {
	return &door{
		gateway: g,
		buffers: sync.Pool{New: func() any { return new(make([]byte, earlyBytes)) }},
		guard:   overload.New(),
	}
}

// started notes that the process began to read a connection; it reports whether requests may be refused early.
func (d *door) started(accepted time.Time) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.guard.Started(now, now.Sub(accepted))
	return d.guard.Behind(now)
}

// note counts a request that was read, with its refusal if it got no target. Only a lack of capacity counts as refusal.
func (d *door) note(customer string, refused *refusal.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.guard.Note(time.Now(), customer, refused != nil && refused.Code == refusal.Overloaded)
}

// refuses tells whether a request of a customer is refused early.
func (d *door) refuses(customer string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.guard.Refuses(time.Now(), customer, rand.Float64())
}

// refuse refuses the first request on a connection if it is there as a whole and its customer's requests are refused early.
// Whatever else it finds is left to the server. It reports whether it has answered.
func (d *door) refuse(connection *net.TCPConn) bool {
	buffer, _ := d.buffers.Get().(*[]byte)
	defer d.buffers.Put(buffer)
	seen := peek(connection, *buffer)
	reader := bytes.NewReader(seen)
	buffered := bufio.NewReader(reader)
	r, err := http.ReadRequest(buffered)
	if err != nil || r.ContentLength < 0 || len(r.TransferEncoding) > 0 {
		return false
	}
	size := len(seen) - reader.Len() - buffered.Buffered() + int(r.ContentLength)
	if r.ContentLength > earlyBytes || size > len(seen) {
		return false
	}
	now := time.Now()
	call, malformed := d.gateway.outside.Codec.ParseRequest(r, now)
	table := d.gateway.config.Table()
	if malformed != nil || table == nil {
		return false
	}
	customer := ""
	if holder, known := table.CustomerByKey(call.APIKey); known {
		customer = holder.Name
	}
	if !d.refuses(customer) {
		return false
	}
	if _, err := io.ReadFull(connection, (*buffer)[:size]); err != nil {
		return false
	}
	x := &exchange{gateway: d.gateway, w: newRawWriter(connection), r: r, arrived: now, call: call, customer: customer}
	x.record.version = table.Version()
	pause := dispatch.Pause(call.Deadline.Sub(now), rand.Float64())
	x.refuse(refusal.New(refusal.Overloaded, "the router gets too little processor time").WithRetry(now.Add(pause)))
	return true
}

// peek returns the bytes that have arrived on a connection, and leaves them there. It waits for the first ones.
func peek(connection *net.TCPConn, buffer []byte) []byte {
	raw, err := connection.SyscallConn()
	if err != nil {
		return nil
	}
	count := 0
	err = raw.Read(func(fd uintptr) bool {
		var failed error
		count, _, failed = syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return failed != syscall.EAGAIN
	})
	if err != nil || count < 0 {
		return nil
	}
	return buffer[:count]
}

// callerConn is a connection of a caller.
type callerConn struct {
	*net.TCPConn
	door     *door
	accepted time.Time
	begun    bool
}

// Read reads from the connection. If the first request on it is refused early, it returns io.EOF.
func (c *callerConn) Read(p []byte) (int, error) {
	if !c.begun {
		c.begun = true
		if c.door.started(c.accepted) && c.door.refuse(c.TCPConn) {
			return 0, io.EOF
		}
	}
	return c.TCPConn.Read(p)
}

// rawWriter writes one whole answer to a connection.
type rawWriter struct {
	connection net.Conn
	header     http.Header
	status     int
}

// newRawWriter returns a writer without headers.
func newRawWriter(connection net.Conn) *rawWriter {
	return &rawWriter{connection: connection, header: make(http.Header)}
}

// Header returns the headers of the answer.
func (w *rawWriter) Header() http.Header { return w.header }

// WriteHeader sets the status.
func (w *rawWriter) WriteHeader(status int) { w.status = status }

// Write writes the answer with its whole body.
func (w *rawWriter) Write(body []byte) (int, error) {
	answer := http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, ContentLength: int64(len(body)),
		Body: io.NopCloser(bytes.NewReader(body)), Close: true,
	}
	var out bytes.Buffer
	if err := answer.Write(&out); err != nil {
		return 0, err
	}
	if _, err := w.connection.Write(out.Bytes()); err != nil {
		return 0, err
	}
	return len(body), nil
}
