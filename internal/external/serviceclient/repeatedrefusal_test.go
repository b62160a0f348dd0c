package serviceclient_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/serviceclient"
	"github.com/chicorydale/chicorydale/internal/external/transport"
)

// refusalText is a complete refusal of a request.
const refusalText = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"

// refusingReplica refuses the first request on each connection, and runs further ones although it first sends the refusal once more.
type refusingReplica struct {
	net.Listener
	// ran receives a value for each call that it runs.
	ran chan struct{}
}

// serve accepts connections until the listener is closed.
func (r *refusingReplica) serve() {
	for {
		conn, err := r.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn)
	}
}

// serveConn answers the requests on a connection.
func (r *refusingReplica) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if !first && request.Method == http.MethodPost {
			r.ran <- struct{}{}
		}
		_, _ = io.WriteString(conn, refusalText)
	}
}

// TestRepeatedRefusalIsNotTakenForAnswer guards against a call that counts as not run although it runs, because its replica has written
// an earlier refusal once more on a kept connection.
func TestRepeatedRefusalIsNotTakenForAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	replica := &refusingReplica{Listener: listener, ran: make(chan struct{}, 100)}
	go replica.serve()
	connections := transport.New()
	defer connections.Close()
	client := serviceclient.New("service", listener.Addr().String(), connections)
	rejections := 0
	for range 5 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		_, _ = client.LoadReport(ctx) // Leaves a connection on which a refusal was written.
		_, err := client.Invoke(ctx, bookRequest("ink"))
		cancel()
		var rejected *external.RejectedError
		if errors.As(err, &rejected) {
			rejections++
		}
	}
	qt.Check(t, rejections, qt.Equals, 5)
	qt.Check(t, len(replica.ran), qt.Equals, 0, qt.Commentf("calls that ran although they counted as not run"))
}
