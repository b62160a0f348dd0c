package command

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chicorydale/chicorydale/internal/emulator/targetserver"
)

// targetTopic is the topic of the store in which targets register themselves.
const targetTopic = "keyed.servers"

// targetRecord is the record by which a target registers itself.
type targetRecord struct {
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	ColdRemainingMS int    `json:"cold_remaining_ms"`
	Sequence        int    `json:"sequence"`
	// Born is the start time of the target in milliseconds since the Unix epoch.
	Born int64 `json:"born"`
}

// addReplica adds the flags of the sub-command replica, which runs a target of the platform.
func addReplica(cmd *kingpin.CmdClause) action {
	server := addServerFlags(cmd, "replica")
	store := cmd.Flag("store", "Address of the store to register in.").Required().String()
	service := cmd.Flag("service", "Service of the target.").Required().String()
	zone := cmd.Flag("zone", "Availability zone of the target.").Required().String()
	slots := cmd.Flag("slots", "Requests that run at the same time.").Default("8").Int()
	eventCount := cmd.Flag("events", "Events of a stream; 0 for a plain service.").Default("0").Int()
	eventInterval := cmd.Flag("pause", "Time between two events.").Default("20ms").Duration()
	return func(ctx context.Context, stdout io.Writer) error {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", server.listenAddr)
		if err != nil {
			return err
		}
		server.listenAddr = listener.Addr().String()
		if err := listener.Close(); err != nil { // serve opens the port again.
			return err
		}
		value, err := json.Marshal(targetRecord{
			Service: *service, Address: server.listenAddr, Zone: *zone, Version: "v1", Slots: *slots, State: "ready", Sequence: 1,
			Born: time.Now().UnixMilli(),
		})
		if err != nil {
			return err
		}
		if err := putRecord(ctx, *store, targetTopic, server.host.Name, value); err != nil {
			return err
		}
		return server.serve(ctx, stdout, targetserver.New(server.host.Name, *slots, *eventCount, *eventInterval))
	}
}
