package router_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/emulator/transcript"
	"github.com/chicorydale/chicorydale/internal/timerlag"
)

// TestFleetTooLargeForFullMesh guards against calls and bookings that wait until their deadline in a fleet that is too large
// for links between all routers, because no link is opened to the router that holds the role they need.
func TestFleetTooLargeForFullMesh(t *testing.T) {
	t.Parallel()
	timerlag.Log(t)
	const routers = 20
	f := newFleet(t)
	for i := range routers {
		f.addRouter(fmt.Sprintf("r%02d", i), "a")
	}
	for i := range routers {
		f.waitReady(i)
	}
	f.configure()
	deadline := time.Now().Add(20 * time.Second).UTC().Format(time.RFC3339Nano)
	for i, url := range f.apiURLs {
		response := f.sendRequest(http.MethodPost, url+"/v1/models/m/generate", customerKey,
			map[string]any{"class": "long", "prompt": "a leaf", "max_tokens": 8, "deadline": deadline}, nil)
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("router %d", i))
		events := readEvents(t, response.Body)
		_ = response.Body.Close()
		checkCompleteAnswer(t, events, transcript.New("a leaf", 8))
		status, body := f.request(http.MethodPost, url+"/v1/services/shop/book", customerKey,
			map[string]any{"deadline": deadline}, map[string]string{"Idempotency-Key": newIdempotencyKey(t)})
		qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("router %d: %s", i, body))
	}
}
