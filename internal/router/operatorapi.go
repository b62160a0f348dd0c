package router

import (
	"context"
	"time"

	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/oas"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// GetConfig returns the configuration that is in force at this router; it implements oas.Handler.
func (r *Router) GetConfig(ctx context.Context) (*oas.Configuration, error) {
	var state config.State
	if err := r.runInLoop(ctx, func(time.Time) { state = r.node.Store().State() }); err != nil {
		return nil, err
	}
	return encodeState(state), nil
}

// GetConfigHistory returns the accepted and refused configuration changes in the order of the log; it implements oas.Handler.
func (r *Router) GetConfigHistory(ctx context.Context) ([]oas.HistoryEntry, error) {
	var entries []oas.HistoryEntry
	err := r.runInLoop(ctx, func(time.Time) {
		for _, change := range r.node.Store().History() {
			entries = append(entries, oas.HistoryEntry{
				ID:       change.ID,
				Author:   optString(change.Author),
				Base:     int64(change.Base),
				Version:  int64(change.Version),
				Accepted: change.Accepted,
				Reason:   optString(change.Reason),
				Offset:   int64(change.Offset),
			})
		}
	})
	return entries, err
}

// PublishChange publishes a configuration change and waits for its outcome; it implements oas.Handler. If the wait is cut
// short, the change may still take effect.
func (r *Router) PublishChange(ctx context.Context, request *oas.Change) (*oas.ChangeResult, error) {
	body, err := request.MarshalJSON()
	if err != nil {
		return nil, refusal.New(refusal.Malformed, err.Error())
	}
	change, err := config.DecodeChange(body)
	if err != nil {
		return nil, refusal.New(refusal.InvalidChange, err.Error())
	}
	results := make(chan config.Result, 1)
	if err := r.runInLoop(ctx, func(now time.Time) {
		r.publishWaiters[r.node.Store().Publish(now, change)] = results
	}); err != nil {
		return nil, refusal.New(refusal.ShuttingDown, err.Error())
	}
	select {
	case result := <-results:
		return publishResult(result)
	case <-ctx.Done():
		return nil, refusal.New(refusal.OutcomeUnknown, "the operator has gone").WithExecutionUnknown()
	case <-r.loopEnded:
		return nil, refusal.New(refusal.OutcomeUnknown, errStopped.Error()).WithExecutionUnknown()
	}
}

// publishResult returns the response to a configuration change with a known result.
func publishResult(result config.Result) (*oas.ChangeResult, error) {
	if refusalErr := result.Refusal(time.Now()); refusalErr != nil {
		return nil, refusalErr
	}
	return &oas.ChangeResult{Version: int64(result.Version), Repeated: result.Outcome == config.OutcomeRepeated}, nil
}

// GetCustomers returns the configured customers with the counts of their requests at this router; it implements oas.Handler.
func (r *Router) GetCustomers(ctx context.Context) ([]oas.CustomerStatus, error) {
	var statuses []oas.CustomerStatus
	err := r.runInLoop(ctx, func(time.Time) {
		state, counts := r.node.Store().State(), r.node.Queue().CountsByCustomer()
		for _, configured := range state.Customers() {
			parameters, _ := state.Customer(configured.Name)
			requests := counts[parameters.Number]
			statuses = append(statuses, oas.CustomerStatus{
				Name: configured.Name, Number: int32(parameters.Number), Template: parameters.Template,
				Weight: parameters.Weight, Waiting: requests.Waiting, Running: requests.Running,
			})
		}
	})
	return statuses, err
}

// GetTargets returns the listed targets; it implements oas.Handler. The counts of running requests cover the pools that this
// router schedules.
func (r *Router) GetTargets(ctx context.Context) ([]oas.TargetStatus, error) {
	var statuses []oas.TargetStatus
	err := r.runInLoop(ctx, func(now time.Time) {
		running := r.node.Scheduler().Occupancy(now)
		for _, target := range r.node.View().Targets() {
			role := "engine"
			if target.IsService {
				role = "service"
			}
			statuses = append(statuses, oas.TargetStatus{
				Name: target.Name, Role: role, Model: target.Model, Zone: target.Zone, Slots: target.Slots,
				Leaving: target.Leaving, Running: running[target.Name],
			})
		}
	})
	return statuses, err
}

// GetStatus returns the router's state, its roles and its view of the other routers; it implements oas.Handler.
func (r *Router) GetStatus(ctx context.Context) (*oas.Status, error) {
	status := &oas.Status{Host: r.settings.Host(), Zone: r.settings.Zone(), Region: r.settings.Region()}
	err := r.runInLoop(ctx, func(now time.Time) {
		status.Ready = r.isReady(now)
		status.ConfigVersion = int64(r.node.Store().State().Version())
		for _, router := range r.node.View().Routers() {
			if router.Name != r.settings.Host() {
				state := oas.PeerStatusState(router.State)
				status.Peers = append(status.Peers, oas.PeerStatus{Host: router.Name, Zone: router.Zone, State: state})
			}
		}
		for _, pool := range r.node.ScheduledPools() {
			status.Roles = append(status.Roles, "pool "+pool.String())
		}
	})
	status.Counters = r.metrics.CounterValues()
	return status, err
}

// optString returns an optional string, which is not set if the text is empty.
func optString(text string) oas.OptString {
	if text == "" {
		return oas.OptString{}
	}
	return oas.NewOptString(text)
}
