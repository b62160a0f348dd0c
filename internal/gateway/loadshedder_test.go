package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/forward"
	"github.com/chicorydale/chicorydale/internal/gateway"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/route"
)

// codec is a gateway.Codec that reads the request ID and the API key from the headers Id and Key.
type codec struct{}

func (codec) ParseRequest(r *http.Request, arrived time.Time) (gateway.RequestInfo, *refusal.Error) {
	return gateway.RequestInfo{
		ID: r.Header.Get("Id"), APIKey: r.Header.Get("Key"), Deadline: arrived.Add(3 * time.Second),
	}, nil
}

func (codec) RequestHeader(caller http.Header, _ gateway.AttemptInfo) http.Header { return caller }

func (codec) ResponseHeader(target http.Header) http.Header { return target }

func (codec) Classify(string, int, http.Header) forward.ResponseInfo { return forward.ResponseInfo{} }

func (codec) StartURI() string { return "/" }

func (codec) ParseStart([]byte) (int64, error) { return 0, nil }

// sendRequest sends a request over a new connection that waited for the given time after its accept. It returns the bytes
// and the error of the router's first read, and the response that the caller received, or nil.
func sendRequest(t *testing.T, listener net.Listener, waited time.Duration, request string) (string, *http.Response, error) {
	t.Helper()
	callerConn, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = callerConn.Close() }()
	routerConn, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	gateway.BackdateAccept(routerConn, waited)
	_, err = io.WriteString(callerConn, request)
	qt.Assert(t, err, qt.IsNil)
	buffer := make([]byte, 4096)
	n, readErr := routerConn.Read(buffer)
	qt.Assert(t, routerConn.Close(), qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(callerConn), nil)
	if err != nil {
		response = nil
	}
	return string(buffer[:n]), response, readErr
}

// TestLoadShedder guards against an overloaded process that reads every request of an already refused customer only to
// refuse it, against early refusals of other customers, and against bytes that are lost when a request is not refused
// early.
func TestLoadShedder(t *testing.T) {
	table := route.NewTable(1, nil, nil, []route.Customer{
		{Name: "crowd", APIKeys: []string{"k1"}}, {Name: "desk", APIKeys: []string{"k2"}},
	}, route.Limits{})
	gw := gateway.New(gateway.Settings{}, gateway.Adapters{Codec: codec{}}, zerolog.New(io.Discard),
		func() uint64 { return 0 })
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = tcpListener.Close() }()
	body := strings.Repeat("x", 3000)
	request := func(key, length string) string {
		return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nId: a1\r\nKey: %s\r\nContent-Length: %s\r\n\r\n%s", key, length, body)
	}
	listener := gateway.NewSheddingListener(gw, table, "crowd", tcpListener)
	received, _, readErr := sendRequest(t, listener, 0, request("k1", "3000"))
	qt.Check(t, readErr, qt.IsNil)
	qt.Check(t, received, qt.Equals, request("k1", "3000"))

	const waited = 200 * time.Millisecond
	refused := 0
	for range 20 {
		received, response, readErr := sendRequest(t, listener, waited, request("k1", "3000"))
		if readErr == nil {
			// Some requests of a refused customer are always handled normally.
			qt.Check(t, received, qt.Equals, request("k1", "3000"))
			continue
		}
		refused++
		qt.Check(t, readErr, qt.Equals, io.EOF)
		qt.Assert(t, response, qt.Not(qt.IsNil))
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
	qt.Check(t, refused >= 10, qt.IsTrue, qt.Commentf("%d of 20 refused early", refused))

	for _, notRefused := range []string{
		request("k2", "3000"), request("k1", "3001"), request("k1", "many"), "\r\n\r\nnonsense\r\n\r\n",
	} {
		received, _, readErr := sendRequest(t, listener, waited, notRefused)
		qt.Check(t, readErr, qt.IsNil)
		qt.Check(t, strings.HasPrefix(notRefused, received), qt.IsTrue, qt.Commentf("%q", received))
	}
}
