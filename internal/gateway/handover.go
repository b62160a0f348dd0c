package gateway

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/chicorydale/chicorydale/internal/latedata"
)

// handover is a connection of a caller that is passed on to a peer. Only run lets go of the connection: when an answer was sent, when the
// caller has left, or by returning it to this router's own server.
type handover struct {
	handovers *handovers
	peer      string
	caller    acceptedConn
	// tellsWait is set if the peer is to be told how long the caller has waited.
	tellsWait bool
	// isConfirmed is set if the peer is not asked to confirm the connection, or has done so.
	isConfirmed bool
	request     handedOverRequest
	// requestEnded is closed when no more bytes of the caller are read.
	requestEnded chan struct{}

	mu sync.Mutex
	// target is the connection to the peer, nil until it is open.
	target *net.TCPConn
}

// run connects to the peer, passes bytes on in both directions until one side ends, and ends the connection of the caller.
func (p *handover) run(address string) {
	defer p.handovers.remove(p)
	p.handovers.connStarted(p.caller.acceptedAt)
	if isDisconnected(p.caller.TCPConn) {
		p.endConfirmation()
		_ = p.caller.Close()
		return
	}
	target, err := p.connect(address)
	if err != nil {
		p.request.release()
		p.keep()
		return
	}
	p.setTarget(target)
	p.handovers.counts.passed.Add(1)
	go p.passRequest(target)
	err = p.passResponse(target)
	p.request.stop(p.caller.TCPConn)
	_ = target.Close()
	<-p.requestEnded
	p.finish(err)
}

// connect opens a connection to the peer. The peer has received nothing of the request if that fails, so it cannot run.
func (p *handover) connect(address string) (*net.TCPConn, error) {
	conn, err := p.handovers.dialer.Dial("tcp", address)
	if err != nil {
		if !isOwnFailure(err) {
			p.handovers.peerFailed(p.peer, err)
		}
		return nil, err
	}
	target, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		_ = conn.Close() // Nothing was sent.
		return nil, net.UnknownNetworkError(conn.RemoteAddr().Network())
	}
	if err := p.confirm(target); err != nil {
		_ = target.Close() // Nothing of the request was sent.
		p.handovers.peerFailed(p.peer, err)
		return nil, err
	}
	return target, nil
}

// isOwnFailure reports whether a connection may have failed because of this process: a late one does not see in time that the peer has accepted, and
// the links tell if that is gone.
func isOwnFailure(err error) bool {
	return isTimeout(err) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
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
	_ = p.caller.SetReadDeadline(time.Time{}) // On a broken connection, the next read fails as well.
	p.handovers.keep(p.caller)
}

// setTarget records the connection to the peer.
func (p *handover) setTarget(target *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// openTarget returns the connection to the peer, nil if it is not open yet.
func (p *handover) openTarget() *net.TCPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// passRequest passes the bytes of the caller on. Their end means that the caller has left, unless a deadline has ended the read.
func (p *handover) passRequest(target *net.TCPConn) {
	defer close(p.requestEnded)
	buffer, _ := p.handovers.buffers.Get().(*[]byte)
	defer p.handovers.buffers.Put(buffer)
	since, lookedAt := time.Time{}, time.Now()
	if hasData(p.caller.TCPConn) {
		since = p.handovers.requestArrival(p.caller)
	} else {
		p.caller.awaitedSince = lookedAt
	}
	for {
		n, _, err := latedata.Read(p.caller.TCPConn, *buffer)
		if n > 0 {
			if since.IsZero() {
				since = p.handovers.readSince(p.caller.awaitedSince)
			}
			err = errors.Join(err, p.passPart(target, (*buffer)[:n], since))
		} else {
			p.caller.awaitedSince = time.Now()
		}
		switch {
		case p.request.hasEnded(): // A caller that goes on sending must not keep the connection.
		case err == nil:
			continue
		case !errors.Is(err, os.ErrDeadlineExceeded):
			p.request.callerLeft()
		case p.request.continueReading(p.caller.TCPConn):
			continue
		}
		_ = target.Close() // The peer learns that nothing more comes.
		return
	}
}

// passPart passes a part of the request on. If the peer does not read any more, its answer may still be on its way, and the rest of the request is
// discarded. The caller has waited since the given time, or since now if that is zero. An error says that the caller has left.
func (p *handover) passPart(target *net.TCPConn, part []byte, since time.Time) error {
	if isDisconnected(p.caller.TCPConn) { // A late process reads requests of callers that have left.
		return net.ErrClosed
	}
	if p.request.addPart(part, since) && p.tellsWait {
		_, err := target.Write(encodeWait(p.request.waited()))
		p.request.partPassed(0, err)
	}
	if !p.request.isPassedOn() {
		return nil
	}
	n, err := target.Write(part)
	p.request.partPassed(n, err)
	return nil
}

// passResponse passes the bytes of the peer on until they end, and returns why they did.
func (p *handover) passResponse(target *net.TCPConn) error {
	buffer, _ := p.handovers.buffers.Get().(*[]byte)
	defer p.handovers.buffers.Put(buffer)
	for {
		n, _, err := latedata.Read(target, *buffer)
		if p.request.isGivenUp() {
			return errOverdue
		}
		if n > 0 {
			written, writeErr := p.caller.Write((*buffer)[:n])
			p.request.answerPassed((*buffer)[:written])
			if writeErr != nil {
				p.writeFailed()
				return writeErr
			}
		}
		if err != nil {
			return err
		}
	}
}

// writeFailed records that a part of the answer could not be sent: the caller has left, unless this router has ended the write.
func (p *handover) writeFailed() {
	if !p.request.isGivenUp() {
		p.request.callerLeft()
	}
}

// probe makes the kernel probe the connection to the peer whenever it is silent.
func (p *handover) probe() {
	if target := p.openTarget(); target != nil {
		config := net.KeepAliveConfig{Enable: true, Idle: checkInterval, Interval: checkInterval}
		_ = target.SetKeepAliveConfig(config) // A connection that has ended needs no probes.
	}
}
