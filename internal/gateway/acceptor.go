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
	// acceptPause is the pause after a connection could not be taken for lack of descriptors.
	acceptPause = 10 * time.Millisecond
	// acceptLogPause is the time between log lines on that.
	acceptLogPause = time.Second
)

// acceptor is a listener that goes on when the process has no descriptor left: it closes idle connections of callers and
// tries again.
type acceptor struct {
	net.Listener
	callers *callers
	door    *door
	logger  zerolog.Logger
	logged  time.Time
}

// Accept returns the next connection.
func (a *acceptor) Accept() (net.Conn, error) {
	for {
		connection, err := a.Listener.Accept()
		now := time.Now()
		if socket, ok := connection.(*net.TCPConn); ok && err == nil {
			return &callerConn{TCPConn: socket, door: a.door, accepted: now}, nil
		}
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return connection, err
		}
		if now.Sub(a.logged) >= acceptLogPause {
			a.logged = now
			event.AcceptFailed.Log(a.logger, err)
		}
		a.callers.sweep(now, 0)
		time.Sleep(acceptPause)
	}
}
