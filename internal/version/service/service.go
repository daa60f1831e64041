// Package service holds the services of a call graph as the operators declare
// them. Which backend servers run a service is learned from announcements.
package service

// A Service is one service of the call graph.
type Service struct {
	// Name is the first part of a request's path and unique within a version.
	Name string
	// Calls lists the services that this one may call.
	Calls []string
}
