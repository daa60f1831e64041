// Package rate enforces the rate and burst of client accounts exactly across many
// hosts: in every window of length t at most burst + rate*t tokens are taken, in total
// over all hosts, even if messages are lost, duplicated or delayed and processes stop,
// pause or restart.
//
// The types are deterministic state machines without goroutines, locks, sockets or
// clocks: the caller passes the time, delivers the messages, and calls one method at a
// time. Messages are plain values with CBOR tags.
//
// A Bucket is the token bucket of one account in one process. Its limit comes from a
// share set by the configuration or from grants of parent buckets, and may be granted
// to child buckets. Every level uses the same Grant: holder of a zone, sub-holder, entry
// node; a loan between zones is a Grant as well. A Limiter holds the buckets of many
// accounts in one process, estimates demand, prefetches tokens for it, queues requests
// for a short time, and batches messages. Where no holder has the rate for all hosts, a
// SplitBucket limits one host to its fraction.
//
// Why the bound holds: at any time the bursts in effect at all buckets sum to at most
// the account's burst, and the rates in effect sum to at most its rate. A bucket
// reserves what it grants before it sends the grant. It frees the reservation only when
// the grant has certainly expired or the receiver has reported, in a later message, what
// it still holds. So the tokens in all buckets never exceed burst, and they grow by at
// most rate*t.
//
// Assumptions: a process identity is never reused after a restart, clocks are monotonic,
// and two clocks measure the same interval with a difference smaller than the drift
// margin.
package rate
