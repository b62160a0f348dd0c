// Package pool schedules waiting requests onto the slots of targets.
//
// A Scheduler holds one schedule for each pool that its router schedules. A schedule has tables of waiting demands, runs,
// targets, loans and borrowed slots. In each tick systems run over the tables: expire, order and grant, lend, report.
// A schedule is soft state: entry routers announce everything they have again in each session.
package pool
