// Package account defines client accounts and their rates, which apply over all
// hosts together. Accounts belong to one configuration version.
package account

// An Account is one client account. In any window of t seconds, at most Burst +
// Rate*t of its requests are admitted over all hosts together.
type Account struct {
	// Name is unique within a configuration version.
	Name string
	// Rate is in requests per second.
	Rate float64
	// Burst is the number of requests that may be admitted at once.
	Burst float64
}
