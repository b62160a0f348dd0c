package link

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
)

// Traffic counts sent control bytes.
type Traffic struct {
	mu    sync.Mutex
	kinds map[string]uint64
	total uint64
	cross uint64
}

// Counts is a snapshot of Traffic, in bytes.
type Counts struct {
	// Total is all sent bytes.
	Total uint64
	// Cross is the part sent to other regions.
	Cross uint64
	// Kinds maps each message kind to its bytes.
	Kinds map[string]uint64
}

// add counts one sent packet.
func (t *Traffic) add(packet *fleetpb.Packet, cross bool) {
	size := uint64(proto.Size(packet))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total += size
	if cross {
		t.cross += size
	}
	for _, body := range packet.GetBodies() {
		t.kinds[Kind(body)] += uint64(proto.Size(body))
	}
}

// Counts returns a snapshot.
func (t *Traffic) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	kinds := make(map[string]uint64, len(t.kinds))
	for kind, bytes := range t.kinds {
		kinds[kind] = bytes
	}
	return Counts{Total: t.total, Cross: t.cross, Kinds: kinds}
}

// Kind returns the name of a message's kind, for example "grants", or "none" for an empty or unknown one.
func Kind(body *fleetpb.Body) string {
	message := body.ProtoReflect()
	field := message.WhichOneof(message.Descriptor().Oneofs().Get(0))
	if field == nil {
		return "none"
	}
	return string(field.Name())
}
