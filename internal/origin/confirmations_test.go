package origin_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/origin"
)

// TestMarkIsNotConfirmedWhileStoreMayHaveLostOthers guards against a mark that is confirmed although streams may be taken up at a build whose mark
// the store has lost, or which earlier routers have marked.
func TestMarkIsNotConfirmedWhileStoreMayHaveLostOthers(t *testing.T) {
	old := []origin.StoredMark{{Origin: oldOrigin}}
	for _, c := range []struct {
		name     string
		readings []origin.MarkReading
		// waits is the time from the last reading until the mark may be confirmed.
		waits time.Duration
	}{
		{"first router", []origin.MarkReading{{Era: 1}, {Era: 1, Marks: old}}, 3 * time.Second},
		{"mark of earlier routers", []origin.MarkReading{{Era: 1, Marks: old}}, 30 * time.Second},
		{"restored store", []origin.MarkReading{{Era: 1}, {Era: 2, Marks: old}}, 30 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			confirmations, builds := origin.NewConfirmations(), origin.NewBuilds()
			builds.Set(startTime, []origin.Origin{oldOrigin})
			builds.MarkWritten(startTime, oldOrigin)
			for _, reading := range c.readings {
				confirmations.Take(startTime, reading)
			}
			waited := time.Duration(0)
			for ; len(confirmations.Due(startTime.Add(waited), builds)) == 0 && waited < time.Minute; waited += 250 * time.Millisecond {
				qt.Check(t, confirmations.Last().OnlyBuild("m"), qt.Equals, "")
			}
			qt.Check(t, waited, qt.Equals, c.waits)
		})
	}
}
