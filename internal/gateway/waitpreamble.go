package gateway

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/chicorydale/chicorydale/internal/latedata"
)

const (
	// waitMark is the first byte of a preamble. No HTTP request begins with it.
	waitMark = 0
	// waitPreambleBytes is the length of a preamble: waitMark, and the time that the caller has waited in milliseconds (4 bytes, big-endian).
	waitPreambleBytes = 5
	// maxWait bounds the time in a preamble, so that a faulty one does not make a request look older than any caller waits.
	maxWait = time.Minute
)

// errBrokenPreamble says that a connection which another router has handed over ended in its preamble.
var errBrokenPreamble = errors.New("connection ended in its preamble")

// encodeWait returns the preamble by which a router tells the peer that takes a connection over how long its caller has waited.
func encodeWait(waited time.Duration) []byte {
	preamble := make([]byte, waitPreambleBytes)
	preamble[0] = waitMark
	binary.BigEndian.PutUint32(preamble[1:], uint32(min(max(waited, 0), maxWait).Milliseconds()))
	return preamble
}

// readWait waits for the first byte of a connection that another router has handed over, and returns the time in its preamble. It is zero
// without a preamble: routers of earlier versions send none. Then no byte is consumed.
func readWait(conn *net.TCPConn) (time.Duration, error) {
	var first [1]byte
	if len(peekReceived(conn, first[:])) == 0 || first[0] != waitMark {
		return 0, nil // The next read returns the error, or the request.
	}
	var preamble [waitPreambleBytes]byte
	for received := 0; received < len(preamble); {
		n, _, err := latedata.Read(conn, preamble[received:])
		received += n
		if err != nil && received < len(preamble) {
			if errors.Is(err, io.EOF) {
				return 0, errBrokenPreamble
			}
			return 0, err
		}
	}
	return decodeWait(preamble[:]), nil
}

// splitWait separates the preamble from the first bytes of a connection, and returns the time in it. It is zero without a preamble.
func splitWait(arrived []byte) (request []byte, waited time.Duration) {
	if len(arrived) < waitPreambleBytes || arrived[0] != waitMark {
		return arrived, 0
	}
	return arrived[waitPreambleBytes:], decodeWait(arrived)
}

// decodeWait returns the time in a preamble.
func decodeWait(preamble []byte) time.Duration {
	return min(time.Duration(binary.BigEndian.Uint32(preamble[1:]))*time.Millisecond, maxWait)
}
