// Program standin2 runs the cases of the second review: it starts the project's routers and stand-ins for all that is around them.
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases holds the cases by name. Each returns the broken rules, none if all held, and an error if it could not run.
var cases = map[string]func(env *environment) ([]string, error){}

func main() {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "false leaves out the disruption")
	flag.Parse()
	os.Exit(runCase(flag.Arg(0), *record, *trouble))
}

func runCase(name, recordPath string, trouble bool) int {
	play, found := cases[name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	env, err := newEnvironment(recordPath, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer env.end()
	broken, err := play(env)
	if err != nil {
		env.journal.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, each := range broken {
		env.journal.line("BROKEN %s", each)
		fmt.Println("BROKEN", each)
	}
	if len(broken) > 0 {
		return 1
	}
	env.journal.line("the rule held")
	fmt.Println("the rule held")
	return 0
}

// environment is what a case starts.
type environment struct {
	journal *journal
	trouble bool
	dir     string
	store   *store
	address string
	routers []*router
}

func newEnvironment(recordPath string, trouble bool) (*environment, error) {
	j, err := newJournal(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	env := &environment{journal: j, trouble: trouble, dir: dir, store: newStore()}
	env.address, err = env.store.start("127.0.0.1")
	return env, err
}

// addRouter starts a router on a loopback address.
func (e *environment) addRouter(name, ip, zone string, zones map[string]string, storeAddress string) (*router, error) {
	added := newRouter(e.dir, name, ip, zone, zones, storeAddress)
	e.routers = append(e.routers, added)
	return added, added.start()
}

// end ends all processes that were started.
func (e *environment) end() {
	for _, each := range e.routers {
		each.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.dir)
	} else {
		fmt.Println(e.dir)
	}
}
