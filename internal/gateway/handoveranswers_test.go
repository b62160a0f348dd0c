package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// peerBehaviour is what a peer does with a request that was handed over to it.
type peerBehaviour int

const (
	// answers reads the request and answers it.
	answers peerBehaviour = iota
	// refuses answers 503 as soon as a part of the request has arrived, and closes the connection.
	refuses
	// closes and resets end the connection without a byte when a part of the request has arrived.
	closes
	resets
	// breaksOff resets the connection in the middle of its answer.
	breaksOff
	// freezes reads nothing and answers nothing.
	freezes
	numBehaviours
)

const peerRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.05\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// peerBody is the body of a peer's answer.
var peerBody = strings.Repeat("b", 3000)

// peerAnswers are answers with different ends: by length, by chunks and by the connection.
var peerAnswers = []string{
	"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3000\r\n\r\n" + peerBody,
	"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n" + peerBody + "\r\n0\r\n\r\n",
	"HTTP/1.0 200 OK\r\n\r\n" + peerBody,
}

// handoverCase is a request that is handed over, what the peer does with it, and whether the router gives it up.
type handoverCase struct {
	seed    uint64
	request string
	// endless is set if the caller goes on sending after the request.
	endless   bool
	behaviour peerBehaviour
	answer    string
	// readBytes is the number of bytes after which the peer acts.
	readBytes int
	// overdue and ending are set if the router gives the request up, for its deadline or for its own end.
	overdue, ending bool
	// gotWhole is set if the peer has read the whole request, which may then have run.
	gotWhole atomic.Bool
	// accepted is the number of connections that the peer has accepted.
	accepted int
}

// peerReadTimeout limits how long a peer waits for the bytes of a connection.
const peerReadTimeout = 10 * time.Second

// newHandoverCase returns a random case.
func newHandoverCase(seed uint64) *handoverCase {
	random := rand.New(rand.NewPCG(seed, 50))
	bodyBytes, headBytes := []int{0, 2000, 6000, 20000, 60000}[random.IntN(5)], []int{0, 0, 5000, 17000}[random.IntN(4)]
	request := fmt.Sprintf("POST /a/ HTTP/1.1\r\nHost: h\r\nX-Pad: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("p", headBytes), bodyBytes,
		strings.Repeat("x", bodyBytes))
	c := &handoverCase{
		seed: seed, request: request, behaviour: peerBehaviour(random.IntN(int(numBehaviours))), answer: peerAnswers[random.IntN(3)],
		readBytes: 1 + random.IntN(len(request)), endless: random.IntN(8) == 0, overdue: random.IntN(3) == 0, ending: random.IntN(3) == 0,
	}
	if c.behaviour == answers || c.behaviour == breaksOff || random.IntN(2) == 0 {
		c.readBytes = len(request)
	}
	c.overdue = c.overdue || c.behaviour == freezes
	return c
}

// acceptAll serves all connections that come until the listener is closed. One of another test, to a port that was used before, must not take the
// place of the handed over one.
func (c *handoverCase) acceptAll(listener *net.TCPListener) {
	var conns sync.WaitGroup
	defer conns.Wait()
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		c.accepted++
		conns.Go(func() { c.serve(conn) })
	}
}

// serve handles a connection as the peer.
func (c *handoverCase) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(peerReadTimeout)) // On a broken connection, the read fails anyway.
	if c.behaviour == freezes {
		time.Sleep(300 * time.Millisecond)
		return
	}
	n, _ := io.ReadFull(conn, make([]byte, c.readBytes))
	if n == len(c.request) {
		c.gotWhole.Store(true)
	}
	switch c.behaviour {
	case answers:
		_, _ = io.WriteString(conn, c.answer)
	case refuses:
		_, _ = io.WriteString(conn, peerRefusal)
	case breaksOff:
		_, _ = io.WriteString(conn, c.answer[:len(c.answer)-2])
		_ = conn.SetLinger(0)
	case resets:
		_ = conn.SetLinger(0)
	default: // It closes the connection without a byte.
	}
}

// send sends the request in random parts, some of them a moment after the one before, and goes on until the connection ends if it is endless. It
// returns the error of the last write, which takes the place of that of the next read.
func (c *handoverCase) send(conn net.Conn) error {
	err := sendInParts(conn, c.request, rand.New(rand.NewPCG(c.seed, 52)))
	for c.endless && err == nil {
		_, err = conn.Write(make([]byte, 4<<10))
	}
	return err
}

// sendInParts writes a request in random parts, some of them a moment after the one before.
func sendInParts(conn net.Conn, request string, random *rand.Rand) error {
	for request != "" {
		n := min(len(request), 1+random.IntN(8<<10))
		if _, err := io.WriteString(conn, request[:n]); err != nil {
			return err
		}
		request = request[n:]
		if random.IntN(4) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// TestHandedOverRequestGetsAnswer guards against requests that end without a byte or with two answers because the peer refuses them before they have
// arrived, ends the connection or freezes, or because the router gives them up meanwhile, and against refusals of requests that may have run.
func TestHandedOverRequestGetsAnswer(t *testing.T) {
	const seeds, callersAtOnce = 800, 40
	var callers sync.WaitGroup
	for seed := range uint64(seeds) {
		callers.Go(func() { checkHandedOverRequest(t, newHandoverCase(seed)) })
		if seed%callersAtOnce == callersAtOnce-1 {
			callers.Wait()
		}
	}
}

// checkHandedOverRequest sends the request of a case through a router that hands it over.
func checkHandedOverRequest(t *testing.T, c *handoverCase) {
	t.Helper()
	listener := listen(t)
	handovers, _ := gateway.NewHandovers("peer", listener.Addr().String(), false)
	served := make(chan struct{})
	go func() {
		defer close(served)
		c.acceptAll(listener)
	}()
	caller, accepted := newPair(t)
	sendErr := make(chan error, 1)
	go func() { sendErr <- c.send(caller) }()
	if !handovers.Take(accepted) {
		t.Errorf("seed %d: not handed over", c.seed)
		return
	}
	go giveUp(handovers, c)
	received, err := io.ReadAll(caller)
	_ = caller.Close()
	if writeErr := <-sendErr; errors.Is(writeErr, syscall.ECONNRESET) {
		err = writeErr
	}
	awaitNoneOpen(t, handovers)
	_ = listener.Close() // No connection comes any more.
	<-served
	c.check(t, string(received), err)
}

// giveUp gives a request up, more than once and beside what its peer does.
func giveUp(handovers gateway.Handovers, c *handoverCase) {
	random := rand.New(rand.NewPCG(c.seed, 53))
	for range 20 {
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
		if c.overdue {
			handovers.EndOverdue(time.Now().Add(time.Minute))
		}
		if c.ending {
			handovers.EndAll()
		}
	}
}

// check checks what the caller has received until the connection ended with an error, nil if it was closed.
func (c *handoverCase) check(t *testing.T, received string, err error) {
	t.Helper()
	comment := qt.Commentf("seed %d, request of %d bytes, %d read, %d connections, behaviour %d, endless %t, overdue %t, ending %t, whole %t: %.200q, %v",
		c.seed, len(c.request), c.readBytes, c.accepted, c.behaviour, c.endless, c.overdue, c.ending, c.gotWhole.Load(), received, err)
	isGivenUp := c.overdue || c.ending
	isWhole := received == c.answer && (c.behaviour == answers)
	isPart := err != nil && received != "" && strings.HasPrefix(c.answer, received) && (c.behaviour == breaksOff || c.behaviour == answers && isGivenUp)
	if isWhole || isPart || received == peerRefusal && c.behaviour == refuses {
		return
	}
	response, parseErr := http.ReadResponse(bufio.NewReader(strings.NewReader(received)), nil)
	if !qt.Check(t, parseErr, qt.IsNil, comment) {
		return
	}
	defer func() { _ = response.Body.Close() }()
	qt.Check(t, strings.Count(received, "HTTP/1."), qt.Equals, 1, comment)
	switch response.StatusCode {
	case http.StatusServiceUnavailable:
		qt.Check(t, c.gotWhole.Load(), qt.IsFalse, comment)
		qt.Check(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "", comment)
	case http.StatusGatewayTimeout:
		qt.Check(t, c.overdue, qt.IsTrue, comment)
	default:
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusBadGateway, comment)
		qt.Check(t, c.behaviour != answers || isGivenUp, qt.IsTrue, comment)
	}
}

// TestRefusedConnectionGetsAnswer guards against callers of a late router that get no byte because their requests arrive after the connection
// was accepted, or only in part before.
func TestRefusedConnectionGetsAnswer(t *testing.T) {
	const callersAtOnce, rounds, acceptors = 50, 10, 4
	late := listen(t)
	instance := gateway.New(gateway.Settings{MaxOpenFiles: 4000}, gateway.Adapters{Codec: codec{}}, zerolog.Nop(), func() uint64 { return 0 })
	listeners := make([]net.Listener, 0, acceptors)
	for range acceptors {
		listeners = append(listeners, gateway.NewLateListener(instance, late, time.Second, false))
	}
	for _, listener := range listeners {
		go func() {
			for {
				if _, err := listener.Accept(); err != nil {
					return
				}
			}
		}()
	}
	for round := range rounds {
		var callers sync.WaitGroup
		for i := range callersAtOnce {
			callers.Go(func() { checkRefusedCaller(t, late.Addr().String(), uint64(round*callersAtOnce+i)) })
		}
		callers.Wait()
	}
}

// checkRefusedCaller opens a connection to a late router and sends a request at a random time.
func checkRefusedCaller(t *testing.T, address string, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 51))
	bodyBytes := []int{0, 2000, 20000, 120000}[random.IntN(4)]
	conn, err := net.Dial("tcp", address)
	if !qt.Check(t, err, qt.IsNil) {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(handoverTimeout))
	time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
	request := fmt.Sprintf("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes))
	go func() { _ = sendInParts(conn, request, random) }() // An answer tells more than the error.
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	comment := qt.Commentf("seed %d, body of %d bytes: %v", seed, bodyBytes, err)
	if qt.Check(t, err, qt.IsNil, comment) {
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable, comment)
		qt.Check(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "", comment)
		_ = response.Body.Close()
	}
}
