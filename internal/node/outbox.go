package node

import (
	"maps"
	"slices"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/message"
)

// outbox collects the messages of one tick by receiver.
type outbox struct {
	self string
	// local holds the messages of the router to itself.
	local []*fleetpb.Body
	// remote holds the messages to other routers, by receiver.
	remote map[string][]*fleetpb.Body
}

// newOutbox returns an empty outbox of the router self.
func newOutbox(self string) *outbox {
	return &outbox{self: self, remote: make(map[string][]*fleetpb.Body)}
}

// add adds messages. Messages to the same receiver keep their order.
func (o *outbox) add(envelopes []message.Envelope) {
	for _, envelope := range envelopes {
		if envelope.To == o.self {
			o.local = append(o.local, envelope.Body)
			continue
		}
		o.remote[envelope.To] = append(o.remote[envelope.To], envelope.Body)
	}
}

// takeLocal returns and removes the messages of the router to itself.
func (o *outbox) takeLocal() []*fleetpb.Body {
	local := o.local
	o.local = nil
	return local
}

// takeRemote returns and removes the messages to other routers, as one packet for each receiver.
func (o *outbox) takeRemote() []Packet {
	packets := make([]Packet, 0, len(o.remote))
	for _, to := range slices.Sorted(maps.Keys(o.remote)) {
		packets = append(packets, Packet{To: to, Bodies: o.remote[to]})
	}
	clear(o.remote)
	return packets
}
