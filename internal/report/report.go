package report

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/chicorydale/chicorydale/internal/event"
)

// lineBytes bounds the length of a line of a log.
const lineBytes = 1 << 20

// GroupBy names what the rows of a report have in common.
type GroupBy string

// Keys of reports.
const (
	ByRoute    GroupBy = "route"
	ByCustomer GroupBy = "customer"
)

// row sums up the requests of one route or customer.
type row struct {
	answered, failed, refused int
	waited, first             []int
	// late are the actual less the expected times from the decision to the first byte, off their absolute values.
	late, off []int
}

// refusal is a kind of refusals.
type refusal struct {
	code, reason string
}

// Report sums up the requests in a log.
type Report struct {
	key      GroupBy
	rows     map[string]*row
	refusals map[refusal]int
	left     int
	broken   int
	skipped  int
}

// New returns an empty report.
func New(key GroupBy) *Report {
	return &Report{key: key, rows: make(map[string]*row), refusals: make(map[refusal]int)}
}

// AddLog adds the lines of a log. Lines that cannot be read are counted; the error is one of the reader.
func (r *Report) AddLog(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, lineBytes)
	for scanner.Scan() {
		if read, ok := parse(scanner.Bytes()); ok {
			r.add(&read)
		} else {
			r.skipped++
		}
	}
	return scanner.Err()
}

// add adds a line.
func (r *Report) add(l *line) {
	switch {
	case l.is(event.RequestAnswered):
		r.answered(l)
	case l.is(event.RequestRefused):
		r.refused(l, 1)
	case l.is(event.RefusalsSummed):
		r.refused(l, l.Count)
	case l.is(event.CallerLeft):
		r.left++
	case l.is(event.StreamBroken):
		r.broken++
	}
}

// answered adds an answered request.
func (r *Report) answered(l *line) {
	to := r.row(l)
	if l.Status >= 500 {
		to.failed++
		return
	}
	to.answered++
	to.waited = append(to.waited, l.Waited)
	to.first = append(to.first, l.First)
	if l.Target != nil {
		late := *l.Target - l.Expected
		to.late = append(to.late, late)
		to.off = append(to.off, max(late, -late))
	}
}

// refused adds refused requests of a kind.
func (r *Report) refused(l *line, count int) {
	r.row(l).refused += count
	r.refusals[refusal{l.Code, l.Reason}] += count
}

// row returns the row of a line and creates it if there is none.
func (r *Report) row(l *line) *row {
	name := l.Route
	if r.key == ByCustomer {
		name = l.Customer
	}
	found, ok := r.rows[name]
	if !ok {
		found = &row{}
		r.rows[name] = found
	}
	return found
}

// WriteText writes the report as text. Times are in milliseconds, for 50, 95 and 99 in 100 answered requests.
func (r *Report) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, values ...any) {
		_, _ = fmt.Fprintf(table, format, values...) // The table keeps its error for Flush.
	}
	line("%s\tanswered\tfailed\trefused\twaited\tfirst byte\tlater than expected\toff by\n", r.key)
	for _, name := range slices.Sorted(maps.Keys(r.rows)) {
		each := r.rows[name]
		line("%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", cmp.Or(name, "-"), each.answered, each.failed, each.refused,
			newQuantiles(each.waited), newQuantiles(each.first), newQuantiles(each.late), newQuantiles(each.off))
	}
	line("\nrefused for\treason\tcount\n")
	kinds := slices.SortedFunc(maps.Keys(r.refusals), func(a, b refusal) int {
		return cmp.Or(cmp.Compare(r.refusals[b], r.refusals[a]), cmp.Compare(a.code, b.code), cmp.Compare(a.reason, b.reason))
	})
	for _, kind := range kinds {
		line("%s\t%s\t%d\n", kind.code, kind.reason, r.refusals[kind])
	}
	line("\ncallers left %d, streams broken %d, lines that cannot be read %d\n", r.left, r.broken, r.skipped)
	return table.Flush()
}
