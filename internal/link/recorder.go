package link

import (
	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/metric"
)

// kindFraming is the kind for the bytes of a packet that are not part of its messages.
const kindFraming = "framing"

// Recorder counts the bytes of sent packets by kind of message. It must be safe for concurrent use.
type Recorder interface {
	// Sent records sent bytes of a kind; crossRegion is set if the receiver is in another region.
	Sent(kind string, crossRegion bool, bytes int)
}

// recordPacket passes the sizes of a sent packet's messages and of its framing to a recorder.
func recordPacket(recorder Recorder, packet *fleetpb.Packet, crossRegion bool) {
	overhead := proto.Size(packet)
	for _, body := range packet.GetBodies() {
		size := proto.Size(body)
		overhead -= size
		recorder.Sent(metric.MessageKind(body), crossRegion, size)
	}
	recorder.Sent(kindFraming, crossRegion, overhead)
}
