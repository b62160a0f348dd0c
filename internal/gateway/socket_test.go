package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// TestCrowdAtLateRouterGetsAnswers guards against callers of a late router who get no refusal, or a reset in its place, whether their request has
// arrived whole, in part, or not at all when the connection is accepted.
func TestCrowdAtLateRouterGetsAnswers(t *testing.T) {
	const callers = 60
	late := listen(t)
	instance := gateway.New(gateway.Settings{MaxOpenFiles: 1000}, gateway.Adapters{Codec: codec{}}, zerolog.Nop(), func() uint64 { return 0 })
	request := "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("x", 20000)
	sizes := []int{len(request), 30, 0}
	var running sync.WaitGroup
	ready := make(chan struct{}, callers)
	for i := range callers {
		running.Go(func() {
			text := request
			if i%2 == 0 {
				text = simpleRequest
			}
			early := min(sizes[i%len(sizes)], len(text))
			conn, err := net.Dial("tcp", late.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			qt.Assert(t, conn.SetDeadline(time.Now().Add(handoverTimeout)), qt.IsNil)
			_, err = io.WriteString(conn, text[:early])
			qt.Check(t, err, qt.IsNil)
			ready <- struct{}{}
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(conn, text[early:]) // A router may answer before it has read everything.
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			qt.Check(t, err, qt.IsNil, qt.Commentf("caller %d", i))
			if err == nil {
				qt.Check(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
				_, err = strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				qt.Check(t, err, qt.IsNil)
			}
		})
	}
	for range callers {
		<-ready
	}
	listener := gateway.NewLateListener(instance, late, time.Second, false)
	go func() { _, _ = listener.Accept() }()
	running.Wait()
}

// TestConnectionWithoutDescriptorGetsRefusal guards against a request that gets no byte, because the process has no descriptor left to serve its
// connection. A connection that is none of TCP takes the same way.
func TestConnectionWithoutDescriptorGetsRefusal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "socket")
	unixListener, err := net.Listen("unix", path)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = unixListener.Close() }()
	instance := gateway.New(gateway.Settings{MaxOpenFiles: 1000}, gateway.Adapters{Codec: codec{}}, zerolog.Nop(), func() uint64 { return 0 })
	conn, err := net.Dial("unix", path)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	qt.Assert(t, conn.SetDeadline(time.Now().Add(handoverTimeout)), qt.IsNil)
	_, err = io.WriteString(conn, simpleRequest)
	qt.Assert(t, err, qt.IsNil)
	listener := gateway.NewReservingListener(instance, unixListener, time.Second, "127.0.0.1:1")
	go func() { _, _ = listener.Accept() }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}
