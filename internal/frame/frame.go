package frame

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// HeaderSize is the size of the header in bytes: kind, version, and the lower 32 bits of the xxHash64 of the content in
// little-endian byte order.
const HeaderSize = 6

// New returns a frame with an empty header and room for capacity bytes of content. The caller appends the content and then
// calls WriteHeader.
func New(capacity int) []byte { return make([]byte, HeaderSize, HeaderSize+capacity) }

// WriteHeader fills in the header of a frame from New, in place, and returns the frame.
func WriteHeader(frame []byte, kind, version byte) []byte {
	frame[0], frame[1] = kind, version
	binary.LittleEndian.PutUint32(frame[2:], checksum(frame))
	return frame
}

// Parse returns the content of a frame, which shares memory with the frame. It returns false if the frame is damaged or of
// another kind or version.
func Parse(frame []byte, kind, version byte) ([]byte, bool) {
	if len(frame) < HeaderSize || frame[0] != kind || frame[1] != version ||
		binary.LittleEndian.Uint32(frame[2:]) != checksum(frame) {
		return nil, false
	}
	return frame[HeaderSize:], true
}

// checksum returns the checksum of the content of a frame.
func checksum(frame []byte) uint32 { return uint32(xxhash.Sum64(frame[HeaderSize:])) }
