// Package external defines the interfaces to the external systems that the fleet depends on: model engines, plain services,
// the host list and the log service.
//
// Each interface has one adapter in a package below this one. To support an external system with another protocol, only
// its adapter has to be replaced.
package external
