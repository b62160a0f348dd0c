package gateway_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/gateway"
)

// TestEndOfShortPauseIsLogged guards against a pause whose end operators do not see because it lies between two periodic updates.
func TestEndOfShortPauseIsLogged(t *testing.T) {
	var log bytes.Buffer
	gateway.LogShortPause(zerolog.New(&log), 10*time.Millisecond)
	qt.Check(t, strings.Count(log.String(), `"event":507`), qt.Equals, 1)
	qt.Check(t, strings.Count(log.String(), `"event":508`), qt.Equals, 1)
}
