package link

import (
	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/metric"
)

// framing is the kind under which the bytes of a packet around its messages are recorded.
const framing = "framing"

// Recorder counts sent control bytes by kind of message; it may be called by several goroutines at once.
type Recorder interface {
	// Sent records bytes of one kind, sent inside a region or across regions.
	Sent(kind string, cross bool, bytes int)
}

// record hands the sizes of a sent packet to a recorder.
func record(recorder Recorder, packet *fleetpb.Packet, cross bool) {
	rest := proto.Size(packet)
	for _, body := range packet.GetBodies() {
		size := proto.Size(body)
		rest -= size
		recorder.Sent(metric.MessageKind(body), cross, size)
	}
	recorder.Sent(framing, cross, rest)
}
