package router

import (
	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/oas"
)

// encodeState returns the HTTP form of a configuration.
func encodeState(state config.State) *oas.Configuration {
	encoded := &oas.Configuration{
		Version:   int64(state.Version()),
		Templates: make([]oas.Template, 0, len(state.Templates())),
		Customers: make([]oas.Customer, 0, len(state.Customers())),
		Services:  make([]oas.Service, 0, len(state.Services())),
	}
	for _, template := range state.Templates() {
		classes := make(oas.TemplateClasses, len(template.Classes))
		for name, class := range template.Classes {
			classes[name] = encodeClass(class)
		}
		encoded.Templates = append(encoded.Templates, oas.Template{
			Name: template.Name, Weight: template.Weight, Classes: classes, Limits: encodeLimits(template.Limits),
		})
	}
	for _, customer := range state.Customers() {
		encoded.Customers = append(encoded.Customers, encodeCustomer(customer))
	}
	for _, service := range state.Services() {
		encoded.Services = append(encoded.Services, oas.Service{Name: service.Name, Operations: service.Operations})
	}
	return encoded
}

// encodeClass returns the HTTP form of a class.
func encodeClass(class config.Class) oas.Class {
	encoded := oas.Class{PatienceMs: class.PatienceMs}
	if class.Long {
		encoded.Long = oas.NewOptBool(true)
	}
	if class.Estimate > 0 {
		encoded.Estimate = oas.NewOptInt64(class.Estimate)
	}
	return encoded
}

// encodeCustomer returns the HTTP form of a customer.
func encodeCustomer(customer config.Customer) oas.Customer {
	encoded := oas.Customer{
		Name:      customer.Name,
		Number:    oas.NewOptInt32(int32(customer.Number)),
		Template:  customer.Template,
		Limits:    encodeLimits(customer.Limits),
		KeyHashes: customer.KeyHashes,
	}
	if customer.Weight > 0 {
		encoded.Weight = oas.NewOptInt(customer.Weight)
	}
	return encoded
}

// encodeLimits returns the HTTP form of limits; those that are not set are left out.
func encodeLimits(limits config.Limits) oas.OptLimits {
	if limits == (config.Limits{}) {
		return oas.OptLimits{}
	}
	var encoded oas.Limits
	if limits.Waiting > 0 {
		encoded.Waiting = oas.NewOptInt(limits.Waiting)
	}
	if limits.WaitingBytes > 0 {
		encoded.WaitingBytes = oas.NewOptInt64(limits.WaitingBytes)
	}
	if limits.Connections > 0 {
		encoded.Connections = oas.NewOptInt(limits.Connections)
	}
	if limits.BodyBytes > 0 {
		encoded.BodyBytes = oas.NewOptInt64(limits.BodyBytes)
	}
	return oas.NewOptLimits(encoded)
}
