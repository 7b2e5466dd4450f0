package model

// Identifiers of the parts of a fleet. They are opaque strings; only the
// operators' lists and the instance list create them.
type (
	// Workspace is one customer of the users of the fleet.
	Workspace string
	// Plan is the class that a workspace holds.
	Plan string
	// Pool is a set of endpoints that serve the same routes.
	Pool string
	// Route is one kind of call, such as "chat" or "tracker/assign".
	Route string
	// EndpointID names one engine or service instance.
	EndpointID string
	// InstanceID names one process of the fleet.
	InstanceID string
	// DataCentre names a data centre.
	DataCentre string
	// Region names a group of data centres.
	Region string
	// Version names a version of what the endpoints of a pool run.
	Version string
	// RequestID names one request; repeats by the same caller keep it.
	RequestID string
	// ChatID names a chat within its workspace.
	ChatID string
)

// EndpointKind tells engines from plain services.
type EndpointKind string

// The kinds of endpoint.
const (
	Engine  EndpointKind = "engine"
	Service EndpointKind = "service"
)
