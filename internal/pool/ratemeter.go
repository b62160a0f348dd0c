package pool

import "time"

// meterPeriod is the least time over which a rate is measured.
const meterPeriod = time.Second

// rateMeter measures the service of a pool per second.
type rateMeter struct {
	periodStart time.Time
	// units is the service since periodStart, in milli-units.
	units uint64
	// rate is the smoothed service in milli-units per second.
	rate uint64
}

// add adds service in milli-units.
func (m *rateMeter) add(units uint64) { m.units += units }

// update ends the current period once it has lasted meterPeriod, and averages its rate with the former rate.
func (m *rateMeter) update(now time.Time) {
	if m.periodStart.IsZero() {
		m.periodStart = now
	}
	elapsed := now.Sub(m.periodStart)
	if elapsed < meterPeriod {
		return
	}
	current := uint64(float64(m.units) / elapsed.Seconds())
	m.rate = (m.rate + current) / 2
	m.periodStart, m.units = now, 0
}
