package event

import (
	"slices"

	"github.com/rs/zerolog"
)

// Event is one kind of log line. Its number never changes and is never used again for another event.
type Event struct {
	number int
	level  zerolog.Level
	name   string
	fields []string
}

// Number returns the number of the event.
func (e Event) Number() int { return e.number }

// Level returns the level at which the event is logged.
func (e Event) Level() zerolog.Level { return e.level }

// Name returns the name of the event, which is the message of its log line.
func (e Event) Name() string { return e.name }

// Fields returns the names of the fields that the event is logged with.
func (e Event) Fields() []string { return slices.Clone(e.fields) }

// Log writes the event with its number and with the values of its fields, in the order of the catalogue. A value that
// is left out is not logged; a further one is logged as "extra".
func (e Event) Log(logger zerolog.Logger, values ...any) {
	line := logger.WithLevel(e.level).Int("event", e.number)
	for i, value := range values {
		name := "extra"
		if i < len(e.fields) {
			name = e.fields[i]
		}
		if err, failed := value.(error); failed {
			line.AnErr(name, err)
		} else {
			line.Interface(name, value)
		}
	}
	line.Msg(e.name)
}
