package gateway

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/event"
)

const (
	// acceptRetryPause is the pause after a connection could not be accepted because no file descriptor was free.
	acceptRetryPause = 10 * time.Millisecond
	// acceptLogInterval is the minimum time between log lines about such failures.
	acceptLogInterval = time.Second
)

// acceptor is a listener that keeps accepting when the process or the system has run out of file descriptors: it closes
// idle connections of callers and tries again.
type acceptor struct {
	net.Listener
	callerConns *callerConns
	shedder     *loadShedder
	cuts        *cutLog
	logger      zerolog.Logger
	lastLogged  time.Time
}

// Accept returns the next connection as a *callerConn. It blocks while no file descriptor is free and returns all other
// errors of the listener.
func (a *acceptor) Accept() (net.Conn, error) {
	for {
		conn, err := a.Listener.Accept()
		now := time.Now()
		if tcpConn, ok := conn.(*net.TCPConn); ok && err == nil {
			return &callerConn{TCPConn: tcpConn, shedder: a.shedder, cuts: a.cuts, acceptedAt: now}, nil
		}
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return conn, err
		}
		if now.Sub(a.lastLogged) >= acceptLogInterval {
			a.lastLogged = now
			event.AcceptFailed.Log(a.logger, err)
		}
		a.callerConns.closeIdle(now, 0)
		time.Sleep(acceptRetryPause)
	}
}
