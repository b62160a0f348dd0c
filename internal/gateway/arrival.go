package gateway

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// acceptedConn is a connection of a caller that was accepted.
type acceptedConn struct {
	*net.TCPConn
	// acceptedAt is the time of the accept.
	acceptedAt time.Time
	// awaitedSince is the time from which the current request could have arrived: none of it was there before.
	awaitedSince time.Time
}

// requestArrival returns when the data that waits on a new connection has arrived, by the account of the kernel: a late process accepts
// connections long after that. It is the time of the accept if the kernel does not tell.
func requestArrival(conn *net.TCPConn, acceptedAt time.Time) time.Time {
	var info *unix.TCPInfo
	now := time.Now()
	controlConn(conn, func(fd int) { info, _ = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO) })
	if info == nil {
		return acceptedAt
	}
	waited := time.Duration(info.Last_data_recv) * time.Millisecond
	if waited > maxWait {
		return acceptedAt
	}
	return earlier(now.Add(-waited), acceptedAt)
}
