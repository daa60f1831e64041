// Package service defines the services of a call graph as declared by operators.
// The backend servers of a service are discovered from their announcements.
package service

// A Service is one service of the call graph.
type Service struct {
	// Name is the first segment of a request's path. It is unique within a
	// configuration version.
	Name string
	// Calls lists the services that this service may call.
	Calls []string
}
