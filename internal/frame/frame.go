package frame

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Size is the number of bytes before the content: kind, version and the low half of the xxhash of the content.
const Size = 6

// New returns a frame with room for its header, to append the content to before Seal.
func New(capacity int) []byte { return make([]byte, Size, Size+capacity) }

// WriteHeader fills in the header of a frame.
func WriteHeader(data []byte, kind, version byte) []byte {
	data[0], data[1] = kind, version
	binary.LittleEndian.PutUint32(data[2:], sum(data))
	return data
}

// Parse returns the content of a frame, and false if the frame is of another kind or version or damaged.
func Parse(data []byte, kind, version byte) ([]byte, bool) {
	if len(data) < Size || data[0] != kind || data[1] != version || binary.LittleEndian.Uint32(data[2:]) != sum(data) {
		return nil, false
	}
	return data[Size:], true
}

// sum returns the checksum of a frame's content.
func sum(data []byte) uint32 { return uint32(xxhash.Sum64(data[Size:])) }
