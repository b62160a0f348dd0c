package forward

import (
	"net/http"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

// Codec reads what the headers of targets say.
type Codec interface {
	// Classify returns what the head of an answer says about the request with an id.
	Classify(id string, status int, header http.Header) ResponseInfo
}

// ResponseInfo is what the head of an answer says.
type ResponseInfo struct {
	// Foreign tells that the answer is one to another request.
	Foreign bool
	// NotRun tells that the target did not run the request and will not.
	NotRun bool
	// Misdirected tells that another target has the address.
	Misdirected bool
	// Signed tells that the answer carries the target's signature.
	Signed bool
	// Load is the load that the target told, nil if it told none.
	Load *dispatch.Load
}
