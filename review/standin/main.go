// Command standin plays the cases of the review: it starts the routers as separate processes and is itself the store, the replicas, the
// clients and the platform. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// cases holds the function of each case. It returns a line for each breach.
var cases = map[string]func(w *world) []string{}

// world is what a case runs in.
type world struct {
	// root is the repository, dir a temporary folder.
	root, dir string
	// trouble is false if the case shall run without its disruption.
	trouble bool
	ip      string
	store   *store

	startedAt time.Time
	routers   []*router
	mu        sync.Mutex
	record    *os.File
	lines     int
}

// maxTime bounds the time of a case.
const maxTime = 110 * time.Second

// maxRecordLines bounds the record.
const maxRecordLines = 20000

// logf adds a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lines++; w.lines <= maxRecordLines {
		_, _ = fmt.Fprintf(w.record, "%9.4f %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

// since returns the time of the record.
func (w *world) since(at time.Time) float64 { return at.Sub(w.startedAt).Seconds() }

// check ends the process with 2 on an error: the case couldn't run.
func check(err error) {
	if err != nil {
		panic(couldNotRun{err})
	}
}

type couldNotRun struct{ error }

func main() { os.Exit(run()) }

func run() (status int) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY FOLDER")
		return 2
	}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return 2
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		limit.Cur = limit.Max
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	}
	record, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "chicorydale-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	// A network of loopback addresses of its own keeps ports free.
	pid := os.Getpid()
	w := &world{
		root: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0", ip: fmt.Sprintf("127.%d.%d.", 64+pid/250%128, 1+pid%250),
		startedAt: time.Now(), record: record, store: newStore(),
	}
	defer func() {
		if value := recover(); value != nil {
			failed, ok := value.(couldNotRun)
			if !ok {
				w.end()
				panic(value)
			}
			w.logf("the case couldn't run: %v", failed.error)
			fmt.Println("the case couldn't run:", failed.error)
			status = 2
		}
		w.end()
		_ = os.RemoveAll(dir)
	}()
	time.AfterFunc(maxTime, func() {
		w.logf("the case takes too long")
		w.end()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	})
	breaches := play(w)
	for _, breach := range breaches {
		w.logf("BROKEN %s", breach)
	}
	for i, breach := range breaches {
		if i == 5 {
			fmt.Printf("and %d more\n", len(breaches)-i)
			break
		}
		fmt.Println("broken:", breach)
	}
	if len(breaches) > 0 {
		return 1
	}
	fmt.Println("held")
	return 0
}

// end ends all processes that the case started.
func (w *world) end() {
	for _, r := range w.routers {
		r.kill()
	}
}
