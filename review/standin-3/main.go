// Command standin plays the cases of review/11 to review/15: the platform's store, the operator, replicas and clients on loopback
// addresses, around router processes that it starts with the command of the deploy file.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// errBroken says that the rule was broken.
var errBroken = errors.New("the rule was broken")

// scene holds what a case plays with.
type scene struct {
	journal *journal
	dir     string
	store   *store
	// proxy stands between the routers and the store, if it is set.
	proxy    *proxy
	routers  []*router
	replicas []*replica
	// trouble is not set if the case is to run without its disruption.
	trouble bool
}

var cases = map[string]func(*scene) error{
	"leaving": playLeaving,
	"revoked": playRevoked,
	"heads":   playHeads,
	"joined":  playJoined,
	"silent":  playSilent,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*scene) error, recordPath string) int {
	record, err := openJournal(recordPath)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s := &scene{journal: record, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer s.end()
	if s.store, err = startStore(); err == nil {
		err = run(s)
	}
	switch {
	case errors.Is(err, errBroken):
		record.event("broken: %v", err)
		return exitBroken
	case err != nil:
		record.event("not run: %v", err)
		return exitNotRun
	}
	record.event("held")
	return exitHeld
}

// end ends all processes and listeners of the case.
func (s *scene) end() {
	for _, r := range s.routers {
		r.kill()
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			if log, err := os.ReadFile(r.logPath); err == nil {
				_ = os.WriteFile(keep+"/"+r.name+".log", log, 0o600)
			}
		}
	}
	for _, r := range s.replicas {
		r.stop()
	}
}

// addReplica starts a replica.
func (s *scene) addReplica(service, zone string, slots int, work time.Duration) (*replica, error) {
	return s.addVersion(service, zone, "v1", slots, work)
}

// addVersion starts a replica of a software version.
func (s *scene) addVersion(service, zone, version string, slots int, work time.Duration) (*replica, error) {
	id := fmt.Sprintf("i-7f3a%02x", len(s.replicas)+1)
	added, err := startReplica(id, service, zone, version, slots, work, s.store, s.journal, "127.0.0.1:0")
	if err == nil {
		s.replicas = append(s.replicas, added)
	}
	return added, err
}

// startRouters starts a router in each of the given zones and waits until all are ready.
func (s *scene) startRouters(zones ...string) error {
	for i, zone := range zones {
		r, err := newRouter(s.dir, i+1, zone, s.storeAddress())
		if err != nil {
			return err
		}
		s.routers = append(s.routers, r)
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, r := range s.routers {
		if err := r.awaitReady(time.Now().Add(15 * time.Second)); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // The links between the routers open.
	s.journal.event("%d routers are ready", len(s.routers))
	return nil
}

// sleepTo waits until a time after another one.
func sleepTo(from time.Time, after time.Duration) { time.Sleep(time.Until(from.Add(after))) }

// storeAddress returns the address of the store in the settings of the routers.
func (s *scene) storeAddress() string {
	if s.proxy != nil {
		return s.proxy.listener.Addr().String()
	}
	return s.store.address()
}
