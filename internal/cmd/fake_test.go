package cmd_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/chicorydale/chicorydale/internal/oas"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// fake is a router that answers the interface from a small configuration.
type fake struct {
	configuration oas.Configuration
	history       []oas.HistoryEntry
}

// newFake returns a fake with one customer.
func newFake() *fake {
	return &fake{
		configuration: oas.Configuration{
			Version:   3,
			Templates: []oas.Template{{Name: "shop", Weight: 2, Classes: oas.TemplateClasses{"quick": {PatienceMs: 1}, "long": {PatienceMs: 9}}}},
			Customers: []oas.Customer{{Name: "press", Template: "shop", Number: oas.NewOptInt32(7)}},
			Services:  []oas.Service{{Name: "bookings", Operations: oas.ServiceOperations{"book": false}}},
		},
	}
}

func (f *fake) HandleBearer(ctx context.Context, _ oas.OperationName, bearer oas.Bearer) (context.Context, error) {
	if bearer.Token != "operator" && bearer.Token != "press" {
		return ctx, refusal.New(refusal.Unauthenticated, "the key is not known")
	}
	return ctx, nil
}

func (f *fake) Generate(_ context.Context, request *oas.GenerateRequest, params oas.GenerateParams) (*oas.GenerateOKHeaders, error) {
	if params.Model != "small" {
		return nil, refusal.New(refusal.UnknownModel, "no target serves it").WithRetryAt(time.Unix(1_800_000_000, 0))
	}
	if request.Prompt == "gap" {
		return stream("event: token\ndata: {\"index\":1,\"text\":\"b\"}\n\n"), nil
	}
	return stream("event: token\nid: 0\ndata: {\"index\":0,\"text\":\"a \"}\n\n" +
		"event: token\nid: 1\ndata: {\"index\":1,\"text\":\"b\"}\n\nevent: end\ndata: {\"tokens\":2}\n\n"), nil
}

func (f *fake) Resume(context.Context, oas.ResumeParams) (*oas.ResumeOKHeaders, error) {
	return nil, refusal.New(refusal.UnknownStream, "the stream is gone").WithExecutionUnknown()
}

func (f *fake) Invoke(_ context.Context, request *oas.InvokeRequest, params oas.InvokeParams) (*oas.InvokeResponse, error) {
	key, found := params.IdempotencyKey.Get()
	if !found {
		return nil, refusal.New(refusal.KeyMissing, "a key is needed")
	}
	result := oas.InvokeResponseResult{"screen": request.Arguments.Value["screen"], "key": fmt.Sprint(len(key))}
	return &oas.InvokeResponse{Result: result}, nil
}

func (f *fake) GetConfig(context.Context) (*oas.Configuration, error) { return &f.configuration, nil }

func (f *fake) GetConfigHistory(context.Context) ([]oas.HistoryEntry, error) { return f.history, nil }

func (f *fake) PublishChange(_ context.Context, change *oas.Change) (*oas.ChangeResult, error) {
	entry := oas.HistoryEntry{ID: change.ID, Author: change.Author, Base: change.Base, Offset: int64(len(f.history))}
	defer func() {
		entry.Version = f.configuration.Version
		f.history = append(f.history, entry)
	}()
	if change.Base != f.configuration.Version {
		entry.Reason = oas.NewOptString("stale")
		return nil, refusal.New(refusal.StaleChange, "another change came first").WithConfigVersion(uint64(f.configuration.Version))
	}
	entry.Accepted = true
	f.configuration.Version++
	return &oas.ChangeResult{Version: f.configuration.Version}, nil
}

func (f *fake) GetCustomers(context.Context) ([]oas.CustomerStatus, error) {
	return []oas.CustomerStatus{{Name: "press", Number: 7, Template: "shop", Weight: 2, Waiting: 5, Running: 1}}, nil
}

func (f *fake) GetTargets(context.Context) ([]oas.TargetStatus, error) {
	return []oas.TargetStatus{
		{Name: "e1", Role: "engine", Model: "small", Zone: "zone-a", Slots: 8, Running: 3},
		{Name: "e2", Role: "engine", Model: "small", Zone: "zone-a", Slots: 8, Leaving: true},
	}, nil
}

func (f *fake) GetStatus(context.Context) (*oas.Status, error) {
	return &oas.Status{
		Host: "r1", Zone: "zone-a", Region: "south", Ready: true, ConfigVersion: f.configuration.Version,
		Peers: []oas.PeerStatus{{Host: "r2", Zone: "zone-a", State: oas.PeerStatusStateUp}}, Roles: []string{"zone-a/small/0"},
		Counters: oas.StatusCounters{"refusals": 4},
	}, nil
}

func (f *fake) NewError(_ context.Context, err error) *oas.RefusalStatusCode {
	refused := refusal.Newf(refusal.Internal, "%v", err)
	var security *ogenerrors.SecurityError
	if !errors.As(err, &refused) && errors.As(err, &security) {
		errors.As(security.Err, &refused)
	}
	response := oas.Refusal{Code: string(refused.Code), Message: refused.Message, Ran: oas.RefusalRan(refused.Execution)}
	if !refused.RetryAt.IsZero() {
		response.RetryAt = oas.NewOptDateTime(refused.RetryAt)
	}
	if refused.ConfigVersion > 0 {
		response.Version = oas.NewOptInt64(int64(refused.ConfigVersion))
	}
	return &oas.RefusalStatusCode{StatusCode: refused.Code.Status(), Response: response}
}

// handler returns the interface of the fake.
func (f *fake) handler() (http.Handler, error) { return oas.NewServer(f, f) }

// stream returns an answer of a start event and further events.
func stream(events string) *oas.GenerateOKHeaders {
	text := "event: start\ndata: {\"token\":\"t1\"}\n\n" + events
	return &oas.GenerateOKHeaders{Response: oas.GenerateOK{Data: strings.NewReader(text)}}
}
