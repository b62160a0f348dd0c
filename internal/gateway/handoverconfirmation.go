package gateway

import (
	"errors"
	"net"
	"time"

	"github.com/chicorydale/chicorydale/internal/latedata"
)

const (
	// confirmMark is the first byte of a connection whose receiver is asked to confirm that its process handles it, and the whole
	// confirmation. Neither an HTTP request nor a preamble begins with it.
	confirmMark = 1
	// confirmTimeout limits the time until the confirmation. Peers that are later than a few tens of milliseconds report that they have no
	// processor time.
	confirmTimeout = 250 * time.Millisecond
)

// errNotConfirmed says that a peer has sent something else than its confirmation.
var errNotConfirmed = errors.New("the peer has not confirmed the connection")

// awaitConfirmation asks the peer of a new connection to confirm that its process handles the connection. The kernel of a frozen peer
// accepts connections and acknowledges bytes, so only its process can tell.
func awaitConfirmation(conn *net.TCPConn) error {
	if _, err := conn.Write([]byte{confirmMark}); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(confirmTimeout)); err != nil {
		return err
	}
	var answer [1]byte
	if _, _, err := latedata.Read(conn, answer[:]); err != nil {
		return err
	}
	if answer[0] != confirmMark {
		return errNotConfirmed
	}
	return conn.SetReadDeadline(time.Time{})
}

// confirmHandover confirms that this process handles a connection that another router has handed over, if that asks for it. It waits for
// the first byte of the connection and consumes it only if it is confirmMark. It reports whether it was.
func confirmHandover(conn *net.TCPConn) (isConfirmed bool, err error) {
	var first [1]byte
	if len(peekReceived(conn, first[:])) == 0 || first[0] != confirmMark {
		return false, nil // The next read returns the error, or the request.
	}
	if _, _, err := latedata.Read(conn, first[:]); err != nil {
		return false, err
	}
	_, err = conn.Write(first[:])
	return true, err
}
