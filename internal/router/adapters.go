package router

import (
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/engineclient"
	"github.com/chicorydale/chicorydale/internal/external/hostsclient"
	"github.com/chicorydale/chicorydale/internal/external/logclient"
	"github.com/chicorydale/chicorydale/internal/external/serviceclient"
	"github.com/chicorydale/chicorydale/internal/external/transport"
	"github.com/chicorydale/chicorydale/internal/settings"
)

// Adapters holds the adapters to the external systems: the platform's services and the targets. All of them must be safe for
// concurrent use.
type Adapters struct {
	// Log is the platform's log service.
	Log external.Log
	// Hosts is the platform's host list.
	Hosts external.HostLister
	// Engine returns an adapter for the engine of the given name and address.
	Engine func(name, address string) external.Engine
	// Service returns an adapter for the service replica of the given name and address.
	Service func(name, address string) external.Service
}

// NewAdapters returns HTTP adapters that share one transport. The addresses of the platform's services are taken from the
// settings.
func NewAdapters(s settings.Settings) Adapters {
	client := transport.New()
	return Adapters{
		Log:     logclient.New(s.LogAddr().String(), client),
		Hosts:   hostsclient.New(s.HostListAddr().String(), client),
		Engine:  func(name, address string) external.Engine { return engineclient.New(name, address, client) },
		Service: func(name, address string) external.Service { return serviceclient.New(name, address, client) },
	}
}
