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
	// breaksOff ends the connection in the middle of its answer.
	breaksOff
	// freezes reads nothing and answers nothing.
	freezes
	numBehaviours
)

const (
	peerAnswer  = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
	peerRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.05\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// modelPeer handles handed over connections as a random peer does.
type modelPeer struct {
	behaviour peerBehaviour
	// readBytes is the number of bytes after which it acts, the whole request for a peer that answers.
	readBytes int
	// gotWhole is set if it has read the whole request, which may then have run.
	gotWhole bool
}

// serve handles a connection with a request of the given size.
func (p *modelPeer) serve(conn *net.TCPConn, requestBytes int) {
	defer func() { _ = conn.Close() }()
	if p.behaviour == freezes {
		time.Sleep(300 * time.Millisecond)
		return
	}
	n, _ := io.ReadFull(conn, make([]byte, p.readBytes))
	p.gotWhole = n == requestBytes
	switch p.behaviour {
	case answers:
		_, _ = io.WriteString(conn, peerAnswer)
	case refuses:
		_, _ = io.WriteString(conn, peerRefusal)
	case breaksOff:
		_, _ = io.WriteString(conn, peerAnswer[:len(peerAnswer)-2])
		_ = conn.SetLinger(0)
	case resets:
		_ = conn.SetLinger(0)
	default: // It closes the connection without a byte.
	}
}

// sendInParts writes a request in random parts, some of them a moment after the one before.
func sendInParts(conn net.Conn, request string, random *rand.Rand) {
	for request != "" {
		n := min(len(request), 1+random.IntN(8<<10))
		if _, err := io.WriteString(conn, request[:n]); err != nil {
			return
		}
		request = request[n:]
		if random.IntN(4) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// TestHandedOverRequestGetsAnswer guards against requests that end without a byte because the peer refuses them before they have arrived, ends
// the connection, or freezes, and against refusals of requests that may have run.
func TestHandedOverRequestGetsAnswer(t *testing.T) {
	const seeds, callersAtOnce = 400, 20
	var callers sync.WaitGroup
	for seed := range uint64(seeds) {
		callers.Go(func() { checkHandedOverRequest(t, seed) })
		if seed%callersAtOnce == callersAtOnce-1 {
			callers.Wait()
		}
	}
	callers.Wait()
}

// checkHandedOverRequest sends a random request through a router that hands it over to a peer with random behaviour.
func checkHandedOverRequest(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 50))
	bodyBytes := []int{0, 2000, 6000, 20000, 60000}[random.IntN(5)]
	request := fmt.Sprintf("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes))
	peer := &modelPeer{behaviour: peerBehaviour(random.IntN(int(numBehaviours))), readBytes: 1 + random.IntN(len(request))}
	if peer.behaviour == answers || peer.behaviour == breaksOff {
		peer.readBytes = len(request)
	}
	listener := listen(t)
	handovers, _ := gateway.NewHandovers("peer", listener.Addr().String(), false)
	served := make(chan struct{})
	go func() {
		defer close(served)
		conn, err := listener.AcceptTCP()
		if err == nil {
			peer.serve(conn, len(request))
		}
	}()
	caller, accepted := newPair(t)
	go sendInParts(caller, request, random)
	if !handovers.Take(accepted) {
		t.Errorf("seed %d: not handed over", seed)
		return
	}
	if peer.behaviour == freezes {
		time.AfterFunc(50*time.Millisecond, func() { handovers.EndOverdue(time.Now().Add(time.Minute)) })
	}
	reader := bufio.NewReader(caller)
	response, err := http.ReadResponse(reader, nil)
	comment := qt.Commentf("seed %d, body of %d bytes, peer %+v: %v", seed, bodyBytes, peer, err)
	if !qt.Check(t, err, qt.IsNil, comment) {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	<-served
	qt.Check(t, err != nil, qt.Equals, peer.behaviour == breaksOff, comment)
	switch peer.behaviour {
	case answers:
		qt.Check(t, string(body), qt.Equals, "body", comment)
	case breaksOff:
		qt.Check(t, errors.Is(err, io.EOF), qt.IsFalse, comment)
	case refuses:
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable, comment)
	default:
		isRefused := response.StatusCode == http.StatusServiceUnavailable
		qt.Check(t, isRefused || response.StatusCode == http.StatusBadGateway || response.StatusCode == http.StatusGatewayTimeout, qt.IsTrue, comment)
		qt.Check(t, isRefused && peer.gotWhole, qt.IsFalse, comment)
		qt.Check(t, isRefused && response.Header.Get("Retry-After") == "", qt.IsFalse, comment)
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
	go sendInParts(conn, request, random)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	comment := qt.Commentf("seed %d, body of %d bytes: %v", seed, bodyBytes, err)
	if qt.Check(t, err, qt.IsNil, comment) {
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable, comment)
		qt.Check(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "", comment)
		_ = response.Body.Close()
	}
}
