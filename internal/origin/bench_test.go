package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chicorydale/chicorydale/internal/origin"
)

// BenchmarkRecord measures what a stream costs at the router that begins it, in a fleet whose peers all learn of it and in the largest
// one with links between all routers. The messages of 25 ms at 73 streams a second go out together.
func BenchmarkRecord(b *testing.B) {
	for _, peers := range []int{8, 127} {
		b.Run(fmt.Sprintf("%d peers", peers), func(b *testing.B) {
			directory := origin.New()
			for i := range peers {
				directory.Connected(startTime, fmt.Sprint("r", i), zoneOf(i))
			}
			b.ReportAllocs()
			now := startTime
			for i := 0; b.Loop(); i++ {
				directory.Record(now, origin.NewStreamID(fmt.Sprint(i)), oldOrigin, now.Add(lifetime))
				if i%2 == 0 {
					now = now.Add(25 * time.Millisecond)
					directory.Tick(now)
				}
			}
		})
	}
}
