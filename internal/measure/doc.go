// Package measure simulates a fleet under load in virtual time. It runs the decision cores of the routers and several
// baselines under the same load and reports fairness, utilisation and control traffic.
//
// A simulation has a queue of events, fake engines and services, a fake log, and one policy that decides which waiting
// request is sent to which engine. It starts no goroutine and reads no clock, so its seed fixes its result.
package measure
