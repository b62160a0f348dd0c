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

// maxEarlyRequestBytes is the maximum size of requests that are refused early.
const maxEarlyRequestBytes = 32 << 10

// loadShedder refuses requests at low cost while the process gets too little processor time. It reads the first request of
// a new connection itself, before the HTTP server does. It is safe for concurrent use.
type loadShedder struct {
	gateway *Gateway
	buffers sync.Pool

	mu     sync.Mutex
	policy *overload.LoadShedder
}

// newLoadShedder returns the load shedder of a gateway.
func newLoadShedder(g *Gateway) *loadShedder {
	return &loadShedder{
		gateway: g,
		buffers: sync.Pool{New: func() any { return new(make([]byte, maxEarlyRequestBytes)) }},
		policy:  overload.New(),
	}
}

// connStarted records how long a connection waited between its accept and its first read. It reports whether requests may
// be refused early.
func (s *loadShedder) connStarted(acceptedAt time.Time) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.RecordStartDelay(now, now.Sub(acceptedAt))
	return s.policy.IsOverloaded(now)
}

// recordOutcome counts a decision about a request of a customer. refusalErr is nil if the request got a target. Only
// refusals for lack of capacity count as refused.
func (s *loadShedder) recordOutcome(customer string, refusalErr *refusal.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.RecordOutcome(time.Now(), customer, refusalErr != nil && refusalErr.Code == refusal.Overloaded)
}

// shouldRefuse reports whether a request of a customer is to be refused early. The decision is partly random, so that some
// requests are still handled.
func (s *loadShedder) shouldRefuse(customer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.ShouldRefuse(time.Now(), customer, rand.Float64())
}

// refuseFirstRequest refuses the first request on a connection if it has arrived completely and shouldRefuse holds for its
// customer. It reports whether it has handled the request. Otherwise the connection is left to the HTTP server.
func (s *loadShedder) refuseFirstRequest(conn *net.TCPConn) bool {
	buffer, _ := s.buffers.Get().(*[]byte)
	defer s.buffers.Put(buffer)
	received := peekReceived(conn, *buffer)
	reader := bytes.NewReader(received)
	buffered := bufio.NewReader(reader)
	r, err := http.ReadRequest(buffered)
	if err != nil || r.ContentLength < 0 || len(r.TransferEncoding) > 0 {
		return false
	}
	size := len(received) - reader.Len() - buffered.Buffered() + int(r.ContentLength)
	if r.ContentLength > maxEarlyRequestBytes || size > len(received) {
		return false
	}
	now := time.Now()
	info, refusalErr := s.gateway.adapters.Codec.ParseRequest(r, now)
	table := s.gateway.config.Table()
	if refusalErr != nil || table == nil {
		return false
	}
	customer := ""
	if owner, known := table.CustomerByKey(info.APIKey); known {
		customer = owner.Name
	}
	if !s.shouldRefuse(customer) {
		return false
	}
	if _, err := io.ReadFull(conn, (*buffer)[:size]); err != nil {
		return false
	}
	x := &exchange{gateway: s.gateway, w: newResponseWriter(conn), r: r, arrivedAt: now, info: info, customer: customer}
	x.stats.configVersion = table.Version()
	retryDelay := dispatch.RetryDelay(info.Deadline.Sub(now), rand.Float64())
	x.refuse(refusal.New(refusal.Overloaded, "the router gets too little processor time").WithRetryAt(now.Add(retryDelay)))
	return true
}

// peekReceived returns the bytes that have arrived on a connection without consuming them. It waits for the first byte until the read deadline, and
// returns no bytes on errors.
func peekReceived(conn *net.TCPConn, buffer []byte) []byte {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	n := 0
	err = raw.Read(func(fd uintptr) bool {
		var recvErr error
		n, _, recvErr = syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return recvErr != syscall.EAGAIN
	})
	if err != nil {
		return peekArrived(conn, buffer) // A read deadline may have passed although data has arrived.
	}
	return buffer[:max(n, 0)]
}

// responseWriter is an http.ResponseWriter that writes one complete response directly to a connection. Write must be
// called exactly once, with the whole body.
type responseWriter struct {
	conn   net.Conn
	header http.Header
	status int
}

// newResponseWriter returns a response writer without headers.
func newResponseWriter(conn net.Conn) *responseWriter {
	return &responseWriter{conn: conn, header: make(http.Header)}
}

// Header returns the headers of the response.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader sets the status of the response.
func (w *responseWriter) WriteHeader(status int) { w.status = status }

// Write sends the response with the given body and announces that the connection will be closed.
func (w *responseWriter) Write(body []byte) (int, error) {
	response := http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, ContentLength: int64(len(body)),
		Body: io.NopCloser(bytes.NewReader(body)), Close: true,
	}
	var encoded bytes.Buffer
	if err := response.Write(&encoded); err != nil {
		return 0, err
	}
	if _, err := w.conn.Write(encoded.Bytes()); err != nil {
		return 0, err
	}
	return len(body), nil
}
