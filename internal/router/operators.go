package router

import (
	"context"
	"time"

	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/oas"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// GetConfig returns the configuration in force; it implements oas.Handler.
func (r *Router) GetConfig(ctx context.Context) (*oas.Configuration, error) {
	var state config.State
	if err := r.do(ctx, func(time.Time) { state = r.node.Store().State() }); err != nil {
		return nil, err
	}
	return encodeState(state), nil
}

// GetConfigHistory returns the folded changes; it implements oas.Handler.
func (r *Router) GetConfigHistory(ctx context.Context) ([]oas.HistoryEntry, error) {
	var entries []oas.HistoryEntry
	err := r.do(ctx, func(time.Time) {
		for _, folded := range r.node.Store().History() {
			entries = append(entries, oas.HistoryEntry{
				ID:       folded.ID,
				Author:   optional(folded.Author),
				Base:     int64(folded.Base),
				Version:  int64(folded.Version),
				Accepted: folded.Accepted,
				Reason:   optional(folded.Reason),
				Offset:   int64(folded.Offset),
			})
		}
	})
	return entries, err
}

// PublishChange publishes a change and waits for its outcome; it implements oas.Handler.
func (r *Router) PublishChange(ctx context.Context, request *oas.Change) (*oas.ChangeResult, error) {
	encoded, err := request.MarshalJSON()
	if err != nil {
		return nil, refusal.New(refusal.Malformed, err.Error())
	}
	change, err := config.DecodeChange(encoded)
	if err != nil {
		return nil, refusal.New(refusal.InvalidChange, err.Error())
	}
	results := make(chan config.Result, 1)
	if err := r.do(ctx, func(now time.Time) { r.tickets[r.node.Store().Publish(now, change)] = results }); err != nil {
		return nil, refusal.New(refusal.ShuttingDown, err.Error())
	}
	select {
	case result := <-results:
		return published(result)
	case <-ctx.Done():
		return nil, refusal.New(refusal.OutcomeUnknown, "the operator has gone").WithExecutionUnknown()
	case <-r.stopped:
		return nil, refusal.New(refusal.OutcomeUnknown, errStopped.Error()).WithExecutionUnknown()
	}
}

// published returns the answer to a published change.
func published(result config.Result) (*oas.ChangeResult, error) {
	if refused := result.Refusal(time.Now()); refused != nil {
		return nil, refused
	}
	return &oas.ChangeResult{Version: int64(result.Version), Repeated: result.Outcome == config.OutcomeRepeated}, nil
}

// GetCustomers returns the customers; it implements oas.Handler.
func (r *Router) GetCustomers(ctx context.Context) ([]oas.CustomerStatus, error) {
	var all []oas.CustomerStatus
	err := r.do(ctx, func(time.Time) {
		state, counts := r.node.Store().State(), r.node.Queue().CountsByCustomer()
		for _, listed := range state.Customers() {
			parameters, _ := state.Customer(listed.Name)
			open := counts[parameters.Number]
			all = append(all, oas.CustomerStatus{
				Name: listed.Name, Number: int32(parameters.Number), Template: parameters.Template,
				Weight: parameters.Weight, Waiting: open.Waiting, Running: open.Running,
			})
		}
	})
	return all, err
}

// GetTargets returns the targets; it implements oas.Handler.
func (r *Router) GetTargets(ctx context.Context) ([]oas.TargetStatus, error) {
	var all []oas.TargetStatus
	err := r.do(ctx, func(now time.Time) {
		running := r.node.Scheduler().Occupancy(now)
		for _, target := range r.node.View().Targets() {
			role := "engine"
			if target.IsService {
				role = "service"
			}
			all = append(all, oas.TargetStatus{
				Name: target.Name, Role: role, Model: target.Model, Zone: target.Zone, Slots: target.Slots,
				Leaving: target.Leaving, Running: running[target.Name],
			})
		}
	})
	return all, err
}

// GetStatus returns the router's own state; it implements oas.Handler.
func (r *Router) GetStatus(ctx context.Context) (*oas.Status, error) {
	status := &oas.Status{Host: r.settings.Host(), Zone: r.settings.Zone(), Region: r.settings.Region()}
	err := r.do(ctx, func(now time.Time) {
		status.Ready = r.isReady(now)
		status.ConfigVersion = int64(r.node.Store().State().Version())
		for _, router := range r.node.View().Routers() {
			if router.Name != r.settings.Host() {
				state := oas.PeerStatusState(router.State)
				status.Peers = append(status.Peers, oas.PeerStatus{Host: router.Name, Zone: router.Zone, State: state})
			}
		}
		for _, scheduled := range r.node.ScheduledPools() {
			status.Roles = append(status.Roles, "pool "+scheduled.String())
		}
	})
	status.Counters = r.metrics.CounterValues()
	return status, err
}

// optional returns a string that is left out if it is empty.
func optional(text string) oas.OptString {
	if text == "" {
		return oas.OptString{}
	}
	return oas.NewOptString(text)
}
