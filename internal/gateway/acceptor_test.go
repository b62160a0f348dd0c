package gateway_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// TestCallersDoNotWaitInLongQueue guards against a crowd of which each caller waits to be accepted until it has left, because the kernel keeps
// thousands of connections for a late router.
func TestCallersDoNotWaitInLongQueue(t *testing.T) {
	const crowd = 2 * gateway.MaxWaitingConns
	listener := listen(t)
	gateway.LimitBacklog(listener)
	opened := make(chan bool, crowd)
	for range crowd {
		go func() {
			conn, err := net.DialTimeout("tcp", listener.Addr().String(), 500*time.Millisecond)
			if err == nil {
				defer func() { _ = conn.Close() }()
			}
			opened <- err == nil
		}()
	}
	count := 0
	for range crowd {
		if <-opened {
			count++
		}
	}
	qt.Check(t, count > 0 && count < gateway.MaxWaitingConns+gateway.MaxWaitingConns/4, qt.IsTrue, qt.Commentf("%d connections", count))
	accept(t, listener)
}
