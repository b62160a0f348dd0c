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

// maxLineBytes is the maximum length of a log line. AddLog fails on a longer one.
const maxLineBytes = 1 << 20

// GroupBy is the field by which a report groups requests.
type GroupBy string

// Fields that a report can group by.
const (
	ByRoute    GroupBy = "route"
	ByCustomer GroupBy = "customer"
)

// groupStats accumulates the requests of one route or customer. All times are in milliseconds.
type groupStats struct {
	answered, failed, refused    int
	queueTimes, timesToFirstByte []int
	// latencyErrors are the actual minus the expected target latencies; absLatencyErrors are their absolute values.
	latencyErrors, absLatencyErrors []int
}

// noticeStats accumulates what a target said of itself. pauseMS is the sum of the pauses that it asked for, in milliseconds.
type noticeStats struct {
	leaves          int
	pauses, pauseMS int
}

// refusalKind identifies refusals with the same code and reason.
type refusalKind struct {
	code, reason string
}

// Report summarizes the requests in gateway logs. It is not safe for concurrent use.
type Report struct {
	groupBy        GroupBy
	groups         map[string]*groupStats
	refusalCounts  map[refusalKind]int
	notices        map[string]*noticeStats
	callersLeft    int
	brokenStreams  int
	malformedLines int
}

// New returns an empty report with one row for each value of groupBy.
func New(groupBy GroupBy) *Report {
	return &Report{groupBy: groupBy, groups: make(map[string]*groupStats), refusalCounts: make(map[refusalKind]int), notices: make(map[string]*noticeStats)}
}

// AddLog adds the lines of a log. Malformed lines are counted and skipped. It returns an error if reading fails or a line
// is longer than maxLineBytes.
func (r *Report) AddLog(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if parsed, ok := parseLine(scanner.Bytes()); ok {
			r.addLine(&parsed)
		} else {
			r.malformedLines++
		}
	}
	return scanner.Err()
}

// addLine adds the event of a line. Events that the report does not use are ignored.
func (r *Report) addLine(l *logLine) {
	switch {
	case l.isEvent(event.RequestAnswered):
		r.addAnswered(l)
	case l.isEvent(event.RequestRefused):
		r.addRefused(l, 1)
	case l.isEvent(event.RefusalsSummed):
		r.addRefused(l, l.Count)
	case l.isEvent(event.CallerLeft):
		r.callersLeft++
	case l.isEvent(event.StreamBroken):
		r.brokenStreams++
	case l.isEvent(event.TargetNotice):
		r.notice(l).leaves++
	case l.isEvent(event.TargetPaused):
		said := r.notice(l)
		said.pauses++
		said.pauseMS += l.PauseMS
	}
}

// notice returns the notices of the target of a line, which it creates if needed.
func (r *Report) notice(l *logLine) *noticeStats {
	said, ok := r.notices[l.Target]
	if !ok {
		said = &noticeStats{}
		r.notices[l.Target] = said
	}
	return said
}

// addAnswered adds an answered request. A status of 500 or above counts as failed and adds no times.
func (r *Report) addAnswered(l *logLine) {
	group := r.group(l)
	if l.Status >= 500 {
		group.failed++
		return
	}
	group.answered++
	group.queueTimes = append(group.queueTimes, l.QueueTimeMS)
	group.timesToFirstByte = append(group.timesToFirstByte, l.TimeToFirstByteMS)
	if l.TargetLatencyMS != nil {
		latencyError := *l.TargetLatencyMS - l.ExpectedTargetLatencyMS
		group.latencyErrors = append(group.latencyErrors, latencyError)
		group.absLatencyErrors = append(group.absLatencyErrors, max(latencyError, -latencyError))
	}
}

// addRefused adds count refusals with the code and reason of a line.
func (r *Report) addRefused(l *logLine, count int) {
	r.group(l).refused += count
	r.refusalCounts[refusalKind{l.Code, l.Reason}] += count
}

// group returns the statistics of the route or customer of a line, which it creates if needed.
func (r *Report) group(l *logLine) *groupStats {
	name := l.Route
	if r.groupBy == ByCustomer {
		name = l.Customer
	}
	group, ok := r.groups[name]
	if !ok {
		group = &groupStats{}
		r.groups[name] = group
	}
	return group
}

// WriteText writes the report as tables. Times are the 50th, 95th and 99th percentiles of answered requests in
// milliseconds.
func (r *Report) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf := func(format string, args ...any) {
		_, _ = fmt.Fprintf(table, format, args...) // Flush returns the error.
	}
	printf("%s\tanswered\tfailed\trefused\twaited\tfirst byte\tlater than expected\toff by\n", r.groupBy)
	for _, name := range slices.Sorted(maps.Keys(r.groups)) {
		group := r.groups[name]
		printf("%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", cmp.Or(name, "-"), group.answered, group.failed, group.refused,
			newQuantiles(group.queueTimes), newQuantiles(group.timesToFirstByte),
			newQuantiles(group.latencyErrors), newQuantiles(group.absLatencyErrors))
	}
	printf("\nrefused for\treason\tcount\n")
	kinds := slices.SortedFunc(maps.Keys(r.refusalCounts), func(a, b refusalKind) int {
		return cmp.Or(cmp.Compare(r.refusalCounts[b], r.refusalCounts[a]), cmp.Compare(a.code, b.code), cmp.Compare(a.reason, b.reason))
	})
	for _, kind := range kinds {
		printf("%s\t%s\t%d\n", kind.code, kind.reason, r.refusalCounts[kind])
	}
	if len(r.notices) > 0 {
		printf("\ntarget\tsaid that it leaves\tpauses\tms in all\n")
	}
	for _, name := range slices.Sorted(maps.Keys(r.notices)) {
		said := r.notices[name]
		printf("%s\t%d\t%d\t%d\n", name, said.leaves, said.pauses, said.pauseMS)
	}
	printf("\ncallers left %d, streams broken %d, lines that cannot be read %d\n", r.callersLeft, r.brokenStreams, r.malformedLines)
	return table.Flush()
}
