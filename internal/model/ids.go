package model

// Identifiers of the parts of a fleet. They are opaque strings, which only the
// operators' lists and the instance list define.
type (
	// Workspace names one customer of an organisation that uses the fleet.
	Workspace string
	// Plan names the service class of a workspace.
	Plan string
	// Pool names a set of endpoints that serve the same routes.
	Pool string
	// Route names one kind of call, such as "chat" or "tracker/assign".
	Route string
	// EndpointID names one engine or service instance.
	EndpointID string
	// InstanceID names one process of the fleet.
	InstanceID string
	// DataCentre names a data centre.
	DataCentre string
	// Region names a group of data centres.
	Region string
	// Version names a version of the model or program that the endpoints of a
	// pool run.
	Version string
	// RequestID names one request; duplicates by the same caller keep it.
	RequestID string
	// ChatID names a chat within its workspace.
	ChatID string
)

// EndpointKind distinguishes model engines from plain services.
type EndpointKind string

// The kinds of endpoint.
const (
	Engine  EndpointKind = "engine"
	Service EndpointKind = "service"
)
