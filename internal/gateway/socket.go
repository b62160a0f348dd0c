package gateway

import (
	"errors"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// socket is the descriptor of an accepted connection that the runtime does not know. Refusing a request on it takes half of the system calls that
// a net.Conn takes, since it is never registered with the poller of the runtime.
type socket int

// errNotTCP says that an accepted connection is none of TCP.
var errNotTCP = errors.New("the connection is none of TCP")

// acceptSocket accepts a connection that waits on a listener. It reports false if none waits or no descriptor is free.
func acceptSocket(listener net.Listener) (accepted socket, found bool) {
	source, ok := listener.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		conn, _, acceptErr := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		accepted, found = socket(conn), acceptErr == nil
	})
	return accepted, found && err == nil
}

// peek copies what has arrived into the buffer, without waiting or consuming it.
func (s socket) peek(buffer []byte) []byte {
	n, _, err := unix.Recvfrom(int(s), buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil {
		return nil
	}
	return buffer[:n]
}

// answer consumes what has arrived of a request, of the given size, and sends an answer to it. The buffer is used until it returns.
func (s socket) answer(size int, buffer []byte, answer string) {
	_, _, _ = unix.Recvfrom(int(s), buffer[:size], unix.MSG_DONTWAIT) // Unread bytes would reset the connection.
	_ = unix.Send(int(s), []byte(answer), unix.MSG_NOSIGNAL)          // A caller that has left gets no answer.
}

// close closes the connection.
func (s socket) close() { _ = unix.Close(int(s)) }

// tcpConn returns the connection, which then belongs to the runtime. If that fails, because no descriptor is free, it calls onFailure and closes
// the connection.
func (s socket) tcpConn(onFailure func()) (*net.TCPConn, error) {
	file := os.NewFile(uintptr(s), "")
	defer func() { _ = file.Close() }() // The connection has a descriptor of its own.
	conn, err := net.FileConn(file)
	if err != nil {
		onFailure()
		return nil, err
	}
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		onFailure()
		_ = conn.Close() // Only connections of TCP listeners are expected.
		return nil, errNotTCP
	}
	_ = tcpConn.SetKeepAlive(false) // Connections that the runtime accepts have none either.
	return tcpConn, nil
}
