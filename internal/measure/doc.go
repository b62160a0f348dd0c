// Package measure drives the decision cores of the routers and several baselines under the same load, in virtual time,
// and sums up fairness, utilisation and control traffic.
//
// A run is one world: a calendar of events, fake engines and services, a fake log, and one policy that decides which
// waiting request is sent to which engine. A run has no goroutine and reads no clock; its seed fixes its result.
package measure
