// Package origin remembers where streams began, so that every router lets a stream go on only at the software version that began it.
//
// What targets of two versions of a service's software write does not fit together. A caller that takes up a broken stream names the
// request that brought its first event, and may reach any router. So each router records the origin of the streams that it sends to
// targets, before the first event can arrive, and sends the record to several others. A router that does not know the origin of a
// stream asks all routers that it is linked with.
//
// A stream that the fleet has broken off may be taken up once beyond the share of its customer. So the records tell as well whether a
// stream is spent, which it stays.
//
// Nothing in this package is safe for concurrent use, and nothing reads the clock: the caller passes the current time.
package origin
