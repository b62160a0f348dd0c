package origin

import "time"

// Spend records that a stream may no longer be taken up beyond its customer's share, since its caller takes it up, has got all of it, or has
// left. It reports whether the stream is known and nobody has spent it before, as far as this router has heard.
func (d *Directory) Spend(now time.Time, stream StreamID) bool {
	known, found := d.entries[stream]
	if !found || known.spent || !now.Before(known.expiresAt) {
		return false
	}
	known.spent = true
	d.entries[stream] = known
	receivers := d.holders(stream)
	if teller, linked := d.peers[known.toldBy]; linked {
		receivers = append(receivers, teller)
	}
	d.tell(now, stream, receivers...)
	return true
}
