package gateway

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicorydale/chicorydale/internal/latedata"
)

// handover is a connection of a caller that is passed on to a peer.
type handover struct {
	handovers *handovers
	peer      string
	caller    *net.TCPConn
	// acceptedAt is the time at which this router accepted the connection.
	acceptedAt time.Time
	// tellsWait is set if the peer is to be told how long the caller has waited.
	tellsWait bool
	// isConfirmed is set if the peer is not asked to confirm the connection, or has done so.
	isConfirmed bool
	// used is set once bytes of the caller have arrived.
	used    atomic.Bool
	request handedOverRequest

	mu sync.Mutex
	// target is the connection to the peer, nil until it is open.
	target *net.TCPConn
}

// run connects to the peer and passes bytes on in both directions until one side ends.
func (p *handover) run(address string) {
	defer p.handovers.remove(p)
	p.handovers.connStarted(p.acceptedAt)
	if isDisconnected(p.caller) {
		p.endConfirmation()
		_ = p.caller.Close()
		return
	}
	conn, err := p.handovers.dialer.Dial("tcp", address)
	target, isTCP := conn.(*net.TCPConn)
	if err != nil || !isTCP {
		if !isTimeout(err) { // A late process does not see that the peer has accepted. The links tell if it is gone.
			p.handovers.peerFailed(p.peer, err)
		}
		p.keep()
		return
	}
	if err := p.confirm(target); err != nil {
		_ = target.Close() // The peer has received nothing of the request, so it cannot run.
		p.handovers.peerFailed(p.peer, err)
		p.keep()
		return
	}
	p.setTarget(target)
	p.handovers.counts.passed.Add(1)
	go p.passRequest()
	p.passResponse()
}

// confirm waits until the peer has confirmed the connection, if it does that.
func (p *handover) confirm(target *net.TCPConn) error {
	if p.isConfirmed {
		return nil
	}
	if err := awaitConfirmation(target); err != nil {
		return err
	}
	p.endConfirmation()
	return nil
}

// endConfirmation records that the connection no longer waits for a confirmation.
func (p *handover) endConfirmation() {
	if !p.isConfirmed {
		p.isConfirmed = true
		p.handovers.confirmationEnded(p.peer)
	}
}

// keep returns the connection to this router's own server, since the peer has not taken it.
func (p *handover) keep() {
	p.endConfirmation()
	p.handovers.counts.keptAfterFailure.Add(1)
	p.handovers.keep(p.caller, p.acceptedAt)
}

// setTarget records the connection to the peer.
func (p *handover) setTarget(target *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// passRequest passes the bytes of the caller on. Their end means that the caller has left.
func (p *handover) passRequest() {
	since := time.Time{}
	if hasData(p.caller) {
		since = p.acceptedAt
	}
	arrived := func(part []byte) bool {
		if isDisconnected(p.caller) { // A late process reads requests of callers that have left.
			return false
		}
		p.request.add(part, since)
		return p.used.Swap(true) || p.tellWait(since) == nil
	}
	_ = p.pass(p.target, p.caller, arrived) // Any end is handled in the same way.
	_ = p.target.Close()                    // The peer learns that the caller has left.
}

// tellWait tells the peer how long the caller has waited, if it takes that: since a time, or since now if that is zero.
func (p *handover) tellWait(since time.Time) error {
	if !p.tellsWait {
		return nil
	}
	waited := time.Duration(0)
	if !since.IsZero() {
		waited = time.Since(since)
	}
	_, err := p.target.Write(encodeWait(waited))
	return err
}

// passResponse passes the bytes of the peer on. A connection that the peer resets is reset, so that a part of a response does not look
// complete.
func (p *handover) passResponse() {
	err := p.pass(p.caller, p.target, func([]byte) bool { return p.request.beginAnswer(answerOfPeer) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close(err != nil)
}

// pass copies bytes until the source ends or arrived, which is called with each part before it is written, returns false. It returns nil
// then, and otherwise an error.
func (p *handover) pass(to, from *net.TCPConn, arrived func(part []byte) bool) error {
	buffer, _ := p.handovers.buffers.Get().(*[]byte)
	defer p.handovers.buffers.Put(buffer)
	for {
		n, _, err := latedata.Read(from, *buffer)
		if n > 0 {
			if !arrived((*buffer)[:n]) {
				return nil
			}
			if _, writeErr := to.Write((*buffer)[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// probe makes the kernel probe the connection to the peer whenever it is silent.
func (p *handover) probe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target != nil {
		config := net.KeepAliveConfig{Enable: true, Idle: checkInterval, Interval: checkInterval}
		_ = p.target.SetKeepAliveConfig(config) // A connection that has ended needs no probes.
	}
}

// close closes both connections. The caller must hold p.mu.
func (p *handover) close(reset bool) {
	if reset {
		_ = p.caller.SetLinger(0) // If this fails, the connection ends without a reset.
	}
	_ = p.caller.Close()
	_ = p.target.Close()
}
