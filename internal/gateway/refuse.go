package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// minEarlyExpiry is how long before the deadline that counts from its read a request has to expire to count as early.
const minEarlyExpiry = 100 * time.Millisecond

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Code    refusal.Code      `json:"code"`
	Message string            `json:"message"`
	Ran     refusal.Execution `json:"ran"`
}

// failRequest ends a request that is sent to no further target. It relays a target's server error if there is one,
// instead of the refusal. A request that may have run is never answered with a refusal that says that it did not. If a
// part of the response has been sent, failRequest panics with http.ErrAbortHandler to close the connection.
func (x *exchange) failRequest(refusalErr *refusal.Error) {
	switch {
	case x.responseStarted:
		x.brokenOff = true
		event.StreamBroken.Log(x.gateway.logger, x.info.ID, x.stats.targetName, x.stats.bodyBytes, refusalErr)
		panic(http.ErrAbortHandler)
	case x.failedResponse != nil:
		x.writeBuffered(x.failedResponse)
	case x.mayHaveRun && refusalErr.Execution == refusal.NotExecuted:
		x.refuse(refusal.New(refusal.TargetFailed, "the target failed, and no other one has room").WithExecutionUnknown())
	default:
		x.refuse(refusalErr)
	}
}

// refuse responds with a refusal and closes the connection. Callers retry on a new connection, which may reach another
// router.
func (x *exchange) refuse(refusalErr *refusal.Error) {
	status := refusalErr.Code.Status()
	switch {
	case refusalErr.Code == refusal.Expired && refusalErr.Execution == refusal.NotExecuted,
		refusalErr.Code == refusal.Quarantined:
		// A quarantine may be a mistake, and it ends, so the request is not refused for good.
		status = http.StatusServiceUnavailable
	}
	x.gateway.metrics.CountRefusal(refusalErr.Code)
	if refusalErr.Code == refusal.Expired && time.Now().Add(minEarlyExpiry).Before(x.answerDeadline) {
		x.gateway.metrics.CountEarlyExpiry()
	}
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Connection", "close")
	retryDelay := time.Duration(0)
	if !refusalErr.RetryAt.IsZero() {
		retryDelay = max(time.Until(refusalErr.RetryAt), 0)
		header.Set("Retry-After", strconv.FormatFloat(retryDelay.Seconds(), 'f', 2, 64))
	}
	body, err := json.Marshal(refusalBody{refusalErr.Code, refusalErr.Message, refusalErr.Execution})
	if err != nil {
		event.Panicked.Log(x.gateway.logger, err, "")
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.writeHead(status)
	if x.sendRefusal(body) != nil {
		event.CallerLeft.Log(x.gateway.logger, x.info.ID, x.stats.targetName, time.Since(x.arrivedAt).Milliseconds())
	}
	if x.hasUnreadBody() {
		defer x.discardBody()
	}
	if !x.gateway.refusalLog.allowLine(time.Now(), refusalKey{x.customer, refusalErr.Code, refusalErr.Message}) {
		return
	}
	event.RequestRefused.Log(x.gateway.logger, x.info.ID, x.customer, x.routeName(), string(refusalErr.Code), refusalErr.Message,
		string(refusalErr.Execution), status, retryDelay.Milliseconds(), x.stats.queueTime.Milliseconds(),
		time.Since(x.arrivedAt).Milliseconds(), x.sentAttempts, x.stats.configVersion, x.gateway.config.age().Milliseconds(),
		x.readDelay().Milliseconds())
}

// sendRefusal sends the body of a refusal. It is not left to the HTTP server, which sends it after the request has ended: a process that is about to end
// waits for open requests only.
func (x *exchange) sendRefusal(body []byte) error {
	_, err := x.w.Write(body)
	if x.controller == nil {
		return err
	}
	return errors.Join(err, x.controller.Flush())
}

// abortDisconnected logs that the caller disconnected before the end of its response, and panics with http.ErrAbortHandler
// to end the request.
func (x *exchange) abortDisconnected() {
	event.CallerLeft.Log(x.gateway.logger, x.info.ID, x.stats.targetName, time.Since(x.arrivedAt).Milliseconds())
	panic(http.ErrAbortHandler)
}

// abortUnwritten ends a request whose answer could not be written: the caller has left, or does not read. The connection logs the latter, also of
// writes that fail after the request was handled.
func (x *exchange) abortUnwritten(err error) {
	if isTimeout(err) {
		panic(http.ErrAbortHandler)
	}
	x.abortDisconnected()
}

// routeName returns the name of the route, or "" if no route was matched.
func (x *exchange) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}
