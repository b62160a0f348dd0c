package logwriter_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/logwriter"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// TestSlowOutput guards against a Write that waits for a slow output, and against a buffer that grows without bound while the
// output blocks. Every line must be either written or counted as dropped.
func TestSlowOutput(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{})}
	w := logwriter.New(output, 1000)
	line := []byte(strings.Repeat("x", 99) + "\n")
	for range 100 {
		n, err := w.Write(line)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, len(line))
	}
	qt.Check(t, w.Dropped() >= 80, qt.IsTrue, qt.Commentf("%d dropped", w.Dropped()))
	close(output.release)
	w.Close()
	qt.Check(t, uint64(output.Len()/len(line))+w.Dropped(), qt.Equals, uint64(100))
}
