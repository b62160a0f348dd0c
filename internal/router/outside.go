package router

import (
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/outside/engineclient"
	"github.com/chicorydale/chicorydale/internal/outside/hostsclient"
	"github.com/chicorydale/chicorydale/internal/outside/logclient"
	"github.com/chicorydale/chicorydale/internal/outside/serviceclient"
	"github.com/chicorydale/chicorydale/internal/outside/transport"
	"github.com/chicorydale/chicorydale/internal/settings"
)

// Adapters holds the adapters to the systems outside of the fleet.
type Adapters struct {
	// Log is the platform's log service.
	Log outside.Log
	// Hosts is the platform's host list.
	Hosts outside.HostLister
	// Engine returns the adapter of the engine with a name at an address.
	Engine func(name, address string) outside.Engine
	// Service returns the adapter of the service replica with a name at an address.
	Service func(name, address string) outside.Service
}

// NewAdapters returns the HTTP adapters for the addresses in the settings.
func NewAdapters(s settings.Settings) Adapters {
	client := transport.New()
	return Adapters{
		Log:     logclient.New(s.LogAddr().String(), client),
		Hosts:   hostsclient.New(s.HostListAddr().String(), client),
		Engine:  func(name, address string) outside.Engine { return engineclient.New(name, address, client) },
		Service: func(name, address string) outside.Service { return serviceclient.New(name, address, client) },
	}
}
