package gateway

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/keyed"
	"github.com/chicorydale/chicorydale/internal/refusal"
	"github.com/chicorydale/chicorydale/internal/route"
)

// Closed tells whether the caller at the other end of a connection has closed it.
func Closed(ctx context.Context, connection net.Conn) bool {
	return closed(withConnection(ctx, connection))
}

// Split returns the whole events of a stream that arrives in pieces of a size, and the id of the last one.
func Split(stream string, size int) (whole, last string) {
	var splitter eventSplitter
	for len(stream) > 0 {
		piece := stream[:min(size, len(stream))]
		stream = stream[len(piece):]
		events, _ := splitter.add([]byte(piece)) // The first target of a stream cannot begin it anew.
		whole += string(events)
	}
	return whole, splitter.last
}

// Door returns a listener that refuses requests early, of a gateway with a configuration and a customer whose requests are
// refused for lack of capacity.
func Door(g *Gateway, table *route.Table, customer string, inner net.Listener) net.Listener {
	g.config.table.Store(table)
	for range 100 {
		g.door.note(customer, refusal.New(refusal.Overloaded, "no room"))
	}
	return &acceptor{Listener: inner, callers: g.callers, door: g.door, logger: g.logger}
}

// Backdate makes a connection of a caller look as if it had been accepted some time ago.
func Backdate(connection net.Conn, late time.Duration) {
	if caller, ok := connection.(*callerConn); ok {
		caller.accepted = caller.accepted.Add(-late)
	}
}

// Sharer is a router that shares its reads of the store.
type Sharer struct{ *sharing }

// NewSharer returns a router without links.
func NewSharer(self string, send func(to string, body *fleetpb.Body)) Sharer {
	return Sharer{newSharing(self, zerolog.Nop(), send)}
}

// Share returns a topic that is read through a peer if there is one.
func (s Sharer) Share(direct keyed.Topic) keyed.Topic { return s.share("topic", direct) }

// Link notes the begin of a session with a peer, Unlink its end.
func (s Sharer) Link(peer string) { s.connected(peer, true) }

// Unlink notes the end of a session with a peer.
func (s Sharer) Unlink(peer string) { s.disconnected(peer) }

// Receive takes a message of a peer.
func (s Sharer) Receive(from string, body *fleetpb.Body) {
	if read := body.GetTopicRead(); read != nil {
		s.asked(time.Now(), from, read)
		return
	}
	s.answered(from, body.GetTopicPage())
}

// Tick answers the questions that are due.
func (s Sharer) Tick() { s.tick(time.Now()) }

// Resumed returns what reaches the caller of a stream that a target breaks off and another one goes on with.
func Resumed(first, second string) (string, error) {
	var splitter eventSplitter
	before, err := splitter.add([]byte(first))
	if err != nil {
		return "", err
	}
	seen := string(before)
	splitter.resume()
	after, err := splitter.add([]byte(second))
	return seen + string(after), err
}

// ConfigView is the newest configuration that a router has read.
type ConfigView struct{ *configView }

// NewConfigView returns a view whose records hold a version each, and for which keys must not be accepted after a bound.
func NewConfigView(bound time.Duration) ConfigView {
	return ConfigView{&configView{
		logger: zerolog.Nop(), bound: bound, applied: func(*route.Table) {},
		decode: func(record keyed.Record) (*route.Table, error) {
			version, err := strconv.ParseUint(string(record.Value), 10, 64)
			return route.NewTable(version, nil, nil, nil, route.Limits{}), err
		},
	}}
}

// Fresh tells whether keys are accepted.
func (v ConfigView) Fresh() bool { return v.fresh() }

// Lateness returns the largest lateness of runs at instants that are due once a period.
func Lateness(period time.Duration, runs ...time.Time) time.Duration {
	var measured lag
	for _, at := range runs {
		measured.note(at, period)
	}
	return measured.take()
}
