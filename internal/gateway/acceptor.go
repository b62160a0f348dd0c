package gateway

import (
	"context"
	"errors"
	"net"
	"runtime"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/chicorydale/chicorydale/internal/event"
)

const (
	// acceptRetryPause is the pause after a connection could not be accepted because no file descriptor was free.
	acceptRetryPause = 10 * time.Millisecond
	// acceptLogInterval is the minimum time between log lines about such failures.
	acceptLogInterval = time.Second
	// queuePollInterval is the time between checks whether connections wait to be accepted.
	queuePollInterval = 10 * time.Millisecond
	// maxWaitingConns is the number of connections of callers that may wait to be accepted. The kernel ignores further ones, whose callers try
	// other routers; in a longer queue, all of them would wait until they have left.
	maxWaitingConns = 256
	// refusalsPerTurn is the number of requests that a goroutine refuses before it lets others run.
	refusalsPerTurn = 16
)

// acceptor is a listener that keeps accepting when the process or the system has run out of file descriptors: it closes
// idle connections of callers and tries again.
type acceptor struct {
	net.Listener
	callerConns *callerConns
	shedder     *loadShedder
	// handovers takes connections that this router is too late for, unless handedOver is set: then another router has handed them over.
	handovers   *handovers
	handedOver  bool
	refuser     *unreadRefuser
	cuts        *cutLog
	closedConns *closedConns
	logger      zerolog.Logger
	lastLogged  time.Time
	// received is where requests that may be refused are read to, refused is the number of requests that were refused. Both belong to the
	// goroutine that accepts.
	received [refusalBufferBytes]byte
	refused  int
}

// Accept returns the next connection as a *callerConn. It blocks while no file descriptor is free and returns all other
// errors of the listener.
func (a *acceptor) Accept() (net.Conn, error) {
	for {
		if conn := a.acceptLate(); conn != nil {
			return conn, nil
		}
		conn, err := a.Listener.Accept()
		now := time.Now()
		if tcpConn, ok := conn.(*net.TCPConn); ok && err == nil {
			if !a.handovers.mayRefuse(now) {
				a.handovers.begin(now)
			} else if a.refuse(tcpConn, now) {
				a.yieldAfterRefusals()
				continue
			}
			if kept := a.keep(tcpConn, now); kept != nil {
				return kept, nil
			}
			continue
		}
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return conn, err
		}
		if now.Sub(a.lastLogged) >= acceptLogInterval {
			a.lastLogged = now
			event.AcceptFailed.Log(a.logger, err)
		}
		a.closedConns.closeAll(now)
		a.callerConns.freeDescriptors(now)
		time.Sleep(acceptRetryPause)
	}
}

// acceptLate accepts the connections that wait while this router is late, and refuses or hands over their requests. It returns a connection that is
// to be served, or nil if none waits.
func (a *acceptor) acceptLate() net.Conn {
	for {
		now := time.Now()
		if !a.handovers.mayRefuse(now) {
			return nil
		}
		accepted, found := acceptSocket(a.Listener)
		if !found {
			return nil
		}
		refused, conn, err := a.refuseSocket(accepted, now)
		if err != nil {
			continue // The connection is closed.
		}
		if refused {
			a.yieldAfterRefusals()
			continue
		}
		if kept := a.keep(conn, now); kept != nil {
			return kept
		}
	}
}

// refuseSocket refuses the request on an accepted connection that this router would begin to handle too late. It reports whether it did, and returns
// the connection otherwise. An error says that the connection is closed.
func (a *acceptor) refuseSocket(accepted socket, now time.Time) (refused bool, conn *net.TCPConn, err error) {
	if arrived := accepted.peek(a.received[:]); len(arrived) > 0 {
		return a.refuser.refuseSocket(accepted, arrived, a.received[:], now)
	}
	if conn, err = accepted.tcpConn(func() {}); err != nil {
		return false, nil, err
	}
	return a.refuse(conn, now), conn, nil
}

// keep hands a connection over, or returns it as one that is to be served.
func (a *acceptor) keep(conn *net.TCPConn, now time.Time) net.Conn {
	accepted := a.handovers.accepted(conn, now)
	if !a.handedOver && a.handovers.take(accepted) {
		return nil
	}
	return a.newCallerConn(accepted)
}

// refuse refuses the request on a connection that this router would begin to handle too late. It reports whether it did. A router that hands
// connections over waits for a confirmation on those that have no data.
func (a *acceptor) refuse(conn *net.TCPConn, now time.Time) bool {
	if a.handedOver && !hasData(conn) {
		a.handovers.begin(now)
		return false
	}
	return a.refuser.refuseIfLate(conn, a.received[:], now)
}

// yieldAfterRefusals lets other goroutines run after some refusals. The acceptor of a router with a crowd before it never waits, and would
// keep the processor until it is preempted.
func (a *acceptor) yieldAfterRefusals() {
	if a.refused++; a.refused%refusalsPerTurn == 0 {
		runtime.Gosched()
	}
}

// newCallerConn returns an accepted connection as one that is to be served.
func (a *acceptor) newCallerConn(accepted acceptedConn) net.Conn {
	a.handovers.connAccepted(a.handedOver)
	return &callerConn{
		acceptedConn: accepted, shedder: a.shedder, cuts: a.cuts, closedConns: a.closedConns, handovers: a.handovers,
		handedOver: a.handedOver,
	}
}

// limitBacklog limits the number of connections that may wait to be accepted on a listener.
func limitBacklog(listener net.Listener) {
	conn, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), maxWaitingConns) }) // The limit of the system stays if this fails.
}

// closeWhenEmpty closes the listener when no connection waits to be accepted, or when ctx ends. The kernel resets the connections that
// wait when the listener is closed.
func (a *acceptor) closeWhenEmpty(ctx context.Context) {
	for a.hasWaitingConns() && ctx.Err() == nil {
		sleepUntil(ctx, time.Now().Add(queuePollInterval))
	}
	_ = a.Close() // The listener is closed in any case.
}

// hasWaitingConns reports whether connections wait to be accepted.
func (a *acceptor) hasWaitingConns() bool {
	listener, ok := a.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) { ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) })
	return err == nil && ready > 0
}
