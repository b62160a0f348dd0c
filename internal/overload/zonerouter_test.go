package overload_test

import (
	"strconv"
	"time"

	"github.com/chicorydale/chicorydale/internal/overload"
)

// zoneRouter is a router of a zoneModel. It runs its tasks in the order in which they became ready, one at a time.
type zoneRouter struct {
	zone  *zoneModel
	index int
	// share is the part of a core that the router gets, maxOpen the number of its descriptors.
	share   float64
	maxOpen int

	tasks   []func() taskCost
	running bool
	// used is the processor time of the code, and idle the time without a task, since the last report.
	used, idle time.Duration
	idleSince  time.Time

	// unaccepted are the connections in the kernel's queue.
	unaccepted []*zoneConn
	// accepting is the number of goroutines that accept connections now.
	accepting  int
	open       int
	handedOver int
	unstarted  int
	// passed holds the number of connections that this router handed over in each second.
	passed []int

	admission *overload.Admission
	handover  *overload.Handover
	shedder   *overload.LoadShedder
	rotation  *overload.Rotation
	lateness  time.Duration
	// probedAt is the time of a probe of lateness that was not handled yet, zero if there is none. probed is the lateness of the last one.
	probedAt time.Time
	probed   time.Duration

	misses int
	out    bool
}

// queue adds a task, which returns the processor time that it takes.
func (r *zoneRouter) queue(task func() taskCost) {
	r.tasks = append(r.tasks, task)
	if !r.running {
		r.running = true
		r.idle += r.zone.now.Sub(r.idleSince)
		r.zone.after(0, r.runNext)
	}
}

// runNext runs the task that has waited longest.
func (r *zoneRouter) runNext() {
	task := r.tasks[0]
	r.tasks = r.tasks[1:]
	cost := task()
	r.used += cost.code
	r.zone.after(time.Duration(float64(cost.code+cost.kernel)/r.share), func() {
		if r.running = len(r.tasks) > 0; r.running {
			r.runNext()
			return
		}
		r.idleSince = r.zone.now
	})
}

// reportLoad sends the spare processor time to the peers in each reportPeriod.
func (r *zoneRouter) reportLoad() {
	r.zone.after(reportPeriod, func() {
		r.queue(func() taskCost {
			spare := r.spare()
			r.used, r.idle, r.lateness = 0, 0, 0
			for _, peer := range r.zone.routers {
				if peer != r {
					r.zone.after(networkDelay, func() { peer.receiveLoad(r.index, spare) })
				}
			}
			return taskCost{code: linkCost}
		})
		r.reportLoad()
	})
}

// spare returns the processor time per second that the router takes itself to have left.
func (r *zoneRouter) spare() time.Duration {
	if r.lateness > 50*time.Millisecond {
		return 0
	}
	return max(time.Duration((r.share-float64(r.used)/float64(reportPeriod))*float64(time.Second)), 0)
}

// receiveLoad receives the report of a peer. It is used when the process handles it; a link on which nothing was handled for too long ends.
func (r *zoneRouter) receiveLoad(peer int, spare time.Duration) {
	name, receivedAt := strconv.Itoa(peer), r.zone.now
	r.queue(func() taskCost {
		if r.zone.now.Sub(receivedAt) > linkTimeout {
			r.handover.RemovePeer(name)
		} else {
			r.handover.RecordPeer(r.zone.now, name, spare)
		}
		return kernelCost(20*time.Microsecond, 1)
	})
}

// measureLateness measures how late periodic work is.
func (r *zoneRouter) measureLateness() {
	r.zone.after(lateTick, func() {
		r.probedAt = r.zone.now
		r.queue(func() taskCost {
			r.probed = r.zone.now.Sub(r.probedAt)
			r.probedAt = time.Time{}
			r.lateness = max(r.lateness, r.probed)
			r.rotation.RecordLateness(r.zone.now, r.probed)
			r.measureLateness()
			return kernelCost(linkCost/2, 1)
		})
	})
}

// late returns how late the router handles its tasks.
func (r *zoneRouter) late() time.Duration {
	if r.probedAt.IsZero() {
		return r.probed
	}
	return max(r.probed, r.zone.now.Sub(r.probedAt))
}

// arrive adds a connection to the kernel's queue, unless that is full.
func (r *zoneRouter) arrive(conn *zoneConn) {
	if len(r.unaccepted) < backlog || conn.from != nil {
		r.unaccepted = append(r.unaccepted, conn)
	}
	r.wakeAcceptor()
}

// wakeAcceptor wakes a goroutine that accepts connections, if one sleeps.
func (r *zoneRouter) wakeAcceptor() {
	if r.accepting < acceptors {
		r.accepting++
		r.queue(r.acceptAll)
	}
}

// acceptAll accepts connections until none waits, the turn is over, or no descriptor is free.
func (r *zoneRouter) acceptAll() taskCost {
	cost := taskCost{kernel: wakeCost}
	for refusals := 0; len(r.unaccepted) > 0; {
		if r.open >= r.maxOpen {
			r.zone.after(descriptorPause, func() { r.queue(r.acceptAll) })
			return cost
		}
		conn := r.unaccepted[0]
		r.unaccepted = r.unaccepted[1:]
		if r.shouldRefuse(conn) {
			r.refused(conn)
			refusals++
			cost.code += parseCost
			cost.kernel += refuseUnreadCalls * syscallCost
		} else {
			r.admit(conn)
			cost.code += acceptCost
			cost.kernel += (acceptCalls + keepCalls) * syscallCost
		}
		if refusals == refusalsPerTurn || cost.code+cost.kernel >= turn {
			r.queue(r.acceptAll)
			return cost
		}
	}
	r.accepting--
	return cost
}

// shouldRefuse reports whether a connection is refused unread.
func (r *zoneRouter) shouldRefuse(conn *zoneConn) bool {
	lateness, cost := r.late(), r.handover.ConnCost(r.zone.now)
	if !r.admission.MayRefuse(r.zone.now, lateness) {
		r.admission.Begin(r.zone.now, cost)
		return false
	}
	r.handover.RecordStartDelay(r.zone.now, lateness)
	return r.admission.ShouldRefuse(r.zone.now, conn.request.customer, overload.WithinShare, cost)
}

// refused tells the caller of a connection that its request was refused.
func (r *zoneRouter) refused(conn *zoneConn) {
	conn.isRead = true
	if conn.from != nil {
		conn.from.endHandover()
	}
	if conn.abandoned {
		return
	}
	delay := r.zone.retryDelay(r.late(), r.handover.Spare(r.zone.now), conn.request.deadline.Sub(r.zone.now), r.zone.random.Float64())
	r.zone.after(networkDelay, func() { r.zone.retry(conn, delay) })
}

// admit hands an accepted connection over to a peer, or keeps it.
func (r *zoneRouter) admit(conn *zoneConn) {
	acceptedAt := r.zone.now
	peer, choice := "", overload.KeepOnTime
	if conn.from == nil && r.handedOver < int(float64(r.maxOpen)*0.75/2) {
		peer, choice = r.handover.Pick(acceptedAt, r.unstarted)
	}
	r.unstarted++
	r.open++
	r.queue(func() taskCost {
		r.unstarted--
		delay := max(r.zone.now.Sub(acceptedAt), r.late())
		r.handover.RecordStartDelay(r.zone.now, delay)
		r.shedder.RecordStartDelay(r.zone.now, delay)
		switch {
		case conn.abandoned:
			r.open--
			return kernelCost(0, closeCalls)
		case choice == overload.HandOver:
			return r.handOver(conn, peer)
		}
		return r.read(conn)
	})
}

// handOver opens a connection to a peer and passes the request on.
func (r *zoneRouter) handOver(conn *zoneConn, peer string) taskCost {
	if r.open >= r.maxOpen {
		return r.read(conn)
	}
	r.open++
	r.handedOver++
	r.passed[r.zone.second()]++
	dialledAt := r.zone.now
	index, _ := strconv.Atoi(peer)
	r.zone.after(networkDelay, func() {
		r.queue(func() taskCost {
			late := r.zone.now.Sub(dialledAt) > handoverTimeout
			if conn.abandoned || late {
				r.open--
				r.handedOver--
			}
			switch {
			case conn.abandoned:
				r.open--
				return kernelCost(0, 2*closeCalls)
			case late:
				return r.read(conn)
			}
			conn.isRead = true
			r.zone.after(networkDelay, func() {
				r.zone.routers[index].arrive(&zoneConn{request: conn.request, first: conn.first, from: r, isRead: true})
			})
			return kernelCost(handoverCost, passCalls)
		})
	})
	return kernelCost(0, dialCalls)
}

// endHandover queues the end of a connection that this router has handed over.
func (r *zoneRouter) endHandover() {
	r.zone.after(networkDelay, func() {
		r.queue(func() taskCost {
			r.open -= 2
			r.handedOver--
			return kernelCost(passCost, passCalls+2*closeCalls)
		})
	})
}

// read reads a request and sends it to a target, or refuses it.
func (r *zoneRouter) read(conn *zoneConn) taskCost {
	conn.isRead = true
	if r.shedder.IsOverloaded(r.zone.now) && r.shedder.ShouldRefuse(r.zone.now, conn.request.customer, r.zone.random.Float64()) {
		r.open--
		r.refused(conn)
		return kernelCost(refuseCost, passCalls+closeCalls)
	}
	r.shedder.RecordOutcome(r.zone.now, conn.request.customer, false)
	r.dialTarget(conn, connectAttempts)
	return kernelCost(readCost, passCalls+dialCalls)
}

// dialTarget opens a connection to a target, which accepts it after a millisecond. The router learns it when it gets the processor.
func (r *zoneRouter) dialTarget(conn *zoneConn, attempts int) {
	dialledAt := r.zone.now
	r.zone.after(networkDelay, func() {
		r.queue(func() taskCost {
			switch request := conn.request; {
			case request.ended || r.zone.now.After(request.deadline):
				r.open--
				return kernelCost(refuseCost, closeCalls)
			case r.zone.now.Sub(dialledAt) <= connectTimeout:
				request.ended = true
				r.zone.served[request.customer][int(request.sentAt.Sub(startTime)/time.Second)]++
				if r.zone.now.Sub(request.sentAt) <= objective {
					r.zone.begun[request.customer][int(request.sentAt.Sub(startTime)/time.Second)]++
				}
				r.zone.after(answerTime, func() { r.passEvent(conn, request.events) })
			case attempts > 1:
				r.dialTarget(conn, attempts-1)
			default:
				r.open--
				r.refused(conn)
			}
			return kernelCost(connectCost, passCalls)
		})
	})
}

// passEvent passes an event of an answer on, and then the others that are left.
func (r *zoneRouter) passEvent(conn *zoneConn, left int) {
	r.queue(func() taskCost {
		if conn.from != nil {
			conn.from.passHandedOver()
		}
		if left == 1 {
			r.open--
			if conn.from != nil {
				conn.from.endHandover()
			}
			return kernelCost(relayCost, passCalls+closeCalls)
		}
		r.zone.after(eventPeriod, func() { r.passEvent(conn, left-1) })
		return kernelCost(eventCost, eventCalls)
	})
}

// passHandedOver passes an event of a peer on to a caller.
func (r *zoneRouter) passHandedOver() {
	r.zone.after(networkDelay, func() { r.queue(func() taskCost { return kernelCost(eventCost, eventCalls) }) })
}
