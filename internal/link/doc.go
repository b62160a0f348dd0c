// Package link exchanges messages between routers over gRPC streams.
//
// A session connects one incarnation of a host with one incarnation of another. Its messages arrive in order and without loss.
// When it breaks, messages that were not delivered are lost and both sides get an event. A session that receives nothing for
// ReceiveTimeout is ended.
package link
