package pool

import "time"

// meterTime is the time over which a rate is measured.
const meterTime = time.Second

// meter measures the service of a pool a second.
type meter struct {
	since time.Time
	units uint64
	rate  uint64
}

// add counts service in milli-units.
func (m *meter) add(units uint64) { m.units += units }

// roll closes the measuring time if it is over.
func (m *meter) roll(now time.Time) {
	if m.since.IsZero() {
		m.since = now
	}
	elapsed := now.Sub(m.since)
	if elapsed < meterTime {
		return
	}
	current := uint64(float64(m.units) / elapsed.Seconds())
	m.rate = (m.rate + current) / 2
	m.since, m.units = now, 0
}
