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

// codec reads the headers Id and Key of requests.
type codec struct{}

func (codec) ParseRequest(r *http.Request, arrived time.Time) (gateway.RequestInfo, *refusal.Error) {
	return gateway.RequestInfo{
		ID: r.Header.Get("Id"), APIKey: r.Header.Get("Key"), Deadline: arrived.Add(3 * time.Second),
	}, nil
}

func (codec) RequestHeader(caller http.Header, _ gateway.AttemptInfo) http.Header { return caller }

func (codec) ResponseHeader(target http.Header) http.Header { return target }

func (codec) Classify(string, int, http.Header) forward.ResponseInfo { return forward.ResponseInfo{} }

// knock sends a request to a door and returns the first read of the door's side, and the answer that the caller got.
func knock(t *testing.T, door net.Listener, late time.Duration, request string) (string, *http.Response, error) {
	t.Helper()
	caller, err := net.Dial("tcp", door.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = caller.Close() }()
	accepted, err := door.Accept()
	qt.Assert(t, err, qt.IsNil)
	gateway.Backdate(accepted, late)
	_, err = io.WriteString(caller, request)
	qt.Assert(t, err, qt.IsNil)
	buffer := make([]byte, 4096)
	n, failed := accepted.Read(buffer)
	qt.Assert(t, accepted.Close(), qt.IsNil)
	answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		answer = nil
	}
	return string(buffer[:n]), answer, failed
}

// TestDoor guards against a process that is behind and reads all requests of a crowd to refuse them, against refusals of
// other customers, and against bytes that are lost when a request is let in.
func TestDoor(t *testing.T) {
	table := route.NewTable(1, nil, nil, []route.Customer{
		{Name: "crowd", APIKeys: []string{"k1"}}, {Name: "desk", APIKeys: []string{"k2"}},
	}, route.Limits{})
	process := gateway.New(gateway.Settings{}, gateway.Adapters{Codec: codec{}}, zerolog.New(io.Discard),
		func() uint64 { return 0 })
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = inner.Close() }()
	body := strings.Repeat("x", 3000)
	request := func(key, length string) string {
		return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nId: a1\r\nKey: %s\r\nContent-Length: %s\r\n\r\n%s", key, length, body)
	}
	door := gateway.Door(process, table, "crowd", inner)
	seen, _, failed := knock(t, door, 0, request("k1", "3000"))
	qt.Check(t, failed, qt.IsNil)
	qt.Check(t, seen, qt.Equals, request("k1", "3000"))

	const late = 200 * time.Millisecond
	early := 0
	for range 20 {
		seen, answer, failed := knock(t, door, late, request("k1", "3000"))
		if failed == nil {
			// A part of the customer's requests is read in any case.
			qt.Check(t, seen, qt.Equals, request("k1", "3000"))
			continue
		}
		early++
		qt.Check(t, failed, qt.Equals, io.EOF)
		qt.Assert(t, answer, qt.Not(qt.IsNil))
		qt.Check(t, answer.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, answer.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
	qt.Check(t, early >= 10, qt.IsTrue, qt.Commentf("%d of 20 refused early", early))

	for _, let := range []string{request("k2", "3000"), request("k1", "3001"), request("k1", "many"), "\r\n\r\nnonsense\r\n\r\n"} {
		seen, _, failed := knock(t, door, late, let)
		qt.Check(t, failed, qt.IsNil)
		qt.Check(t, strings.HasPrefix(let, seen), qt.IsTrue, qt.Commentf("%q", seen))
	}
}
