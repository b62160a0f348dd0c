// Package latedata reads data from sockets after a deadline has passed. A read whose deadline has passed fails without a look at the
// socket, although the data may have arrived in time and the process may have got no processor time to read it.
package latedata

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// Read reads from a connection. If its read deadline has passed, Read returns the data that has arrived nevertheless, and the timeout
// error if there is none. It does not wait after the deadline. The result late reports whether it returns such data.
func Read(conn net.Conn, p []byte) (n int, late bool, err error) {
	n, err = conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, false, err
	}
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false, err
	}
	if arrived := readArrived(sysConn, p); arrived > 0 {
		return arrived, true, nil
	}
	return 0, false, err
}

// readArrived reads the data that has arrived on a connection, without waiting. It returns 0 on errors and at the end of the stream.
func readArrived(conn syscall.Conn, p []byte) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if raw.Control(func(fd uintptr) { n, _, _ = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT) }) != nil {
		return 0
	}
	return max(n, 0)
}
