package measure

// baseline is a policy in which each router, or one ideal queue, sends its own waiting jobs.
type baseline struct {
	world  *world
	choose order
	// part returns how many slots of an engine a router may use; nil means that it goes by the load reports.
	part    func(w *world, router, engine int) int
	shelves []*shelf
}

// newBaseline returns a baseline; the ideal one has one queue that knows every cost.
func newBaseline(w *world, ideal bool, choose order, part func(w *world, router, engine int) int) *baseline {
	b := &baseline{world: w, choose: choose, part: part}
	w.immune = ideal
	if ideal {
		b.shelves = []*shelf{newShelf(w, true)}
		return b
	}
	for range w.lives {
		b.shelves = append(b.shelves, nil)
	}
	return b
}

// shelf returns the queue that a job waits in.
func (b *baseline) shelf(router int) *shelf {
	if b.world.immune {
		return b.shelves[0]
	}
	return b.shelves[router]
}

// submit adds a job.
func (b *baseline) submit(j *job) {
	b.shelf(j.router).add(j)
	b.world.record.wait(j, true)
}

// cancel drops a waiting job.
func (b *baseline) cancel(j *job) bool {
	s := b.shelf(j.router)
	return s != nil && s.remove(j)
}

// ended takes a whole run out of a router's books.
func (b *baseline) ended(r *run) bool {
	b.shelf(r.router).settle(r)
	return true
}

// failed makes a job wait again.
func (b *baseline) failed(r *run) {
	b.shelf(r.router).settle(r)
	r.job.run = nil
	b.submit(r.job)
}

// broke takes a run that was cut off out of a router's books.
func (b *baseline) broke(r *run) {
	if b.world.known(r) {
		b.shelf(r.router).settle(r)
	}
}

// reported does nothing: reports are read when a job is sent.
func (b *baseline) reported(*engine) {}

// kill forgets what a router knew.
func (b *baseline) kill(router int) { b.shelves[router] = nil }

// restart begins with an empty queue.
func (b *baseline) restart(router int) {
	if !b.world.immune {
		b.shelves[router] = newShelf(b.world, false)
	}
}

// cut does nothing: there are no links.
func (b *baseline) cut() {}

// step sends jobs while there are free slots.
func (b *baseline) step() {
	for router, s := range b.shelves {
		if s == nil {
			continue
		}
		for _, service := range []bool{false, true} {
			for s.size(service) > 0 {
				at := b.free(s, router, service)
				if at < 0 {
					break
				}
				b.dispatch(s, b.choose(s, service), at)
			}
		}
	}
}

// dispatch sends a job to an engine.
func (b *baseline) dispatch(s *shelf, j *job, at int) {
	s.remove(j)
	s.charge(j)
	s.own[at]++
	s.sent[at] = append(s.sent[at], b.world.now)
	b.world.send(j, b.world.engines[at], 0)
}

// free returns the engine with the most free slots as far as a router knows, -1 if there is none.
func (b *baseline) free(s *shelf, router int, service bool) int {
	best, most := -1, 0
	for at, e := range b.world.engines {
		if e.service != service || !b.world.reaches(router, e.zone) {
			continue
		}
		var spare int
		switch {
		case b.world.immune:
			spare = slots - len(e.running)
		case b.part != nil:
			spare = b.part(b.world, router, at) - s.own[at]
		default:
			spare = slots - max(s.own[at], e.load+s.since(at, e.loadAt))
		}
		if spare > most {
			best, most = at, spare
		}
	}
	return best
}

// fixedPart deals the slots of all engines out to the routers in turn.
func fixedPart(w *world, router, engine int) int {
	part := 0
	for slot := range slots {
		if (engine*slots+slot)%len(w.lives) == router {
			part++
		}
	}
	return part
}
