package forward

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout limits the time to open a connection. A round trip between regions takes about 25 ms.
	dialTimeout = 400 * time.Millisecond
	// maxWakeDelay is the delay from the timeout of a dial to the moment at which the process learns of it, above which the process was too
	// short of processor time to have seen an answer.
	maxWakeDelay = 50 * time.Millisecond
	// ackTimeout limits how long sent bytes may remain unacknowledged before the kernel closes the connection.
	ackTimeout = 2 * time.Second
)

// targetDialer opens connections to targets.
type targetDialer struct {
	net.Dialer
}

// newTargetDialer returns a dialer whose connections fail if the peer becomes unreachable.
func newTargetDialer() *targetDialer {
	return &targetDialer{Dialer: net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}}
}

// dial opens a connection to an address. The error is a *LateDialError if the process was too late to see an answer.
func (d *targetDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	timeoutAt := time.Now().Add(d.Timeout)
	if deadline, limited := ctx.Deadline(); limited {
		timeoutAt = earliest(deadline, timeoutAt)
	}
	socket, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		return socket, nil
	}
	var timeout net.Error
	if delay := time.Since(timeoutAt); errors.As(err, &timeout) && timeout.Timeout() && delay > maxWakeDelay {
		return nil, &LateDialError{Delay: delay, Cause: err}
	}
	return nil, err
}

// setUserTimeout sets TCP_USER_TIMEOUT to ackTimeout, so that a connection to an unreachable peer fails. It is a
// net.Dialer.Control function.
func setUserTimeout(_, _ string, rawConn syscall.RawConn) error {
	var sockErr error
	err := rawConn.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}
