package event

import (
	"slices"

	"github.com/rs/zerolog"
)

// Event is a kind of log line with a fixed level, name and list of fields. Its number identifies it for operators: it never
// changes and is never reused for another event.
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

// Fields returns the names of the fields that are logged with the event, in their order. The caller owns the slice.
func (e Event) Fields() []string { return slices.Clone(e.fields) }

// Log writes the event with its number and the values of its fields, in the order of Fields. If there are fewer values than
// fields, the last fields are omitted; each value beyond the fields is logged under the name "extra".
func (e Event) Log(logger zerolog.Logger, values ...any) {
	line := logger.WithLevel(e.level).Int("event", e.number)
	for i, value := range values {
		name := "extra"
		if i < len(e.fields) {
			name = e.fields[i]
		}
		if err, isError := value.(error); isError {
			line.AnErr(name, err)
		} else {
			line.Interface(name, value)
		}
	}
	line.Msg(e.name)
}
