// Package platform reaches the table service and the object store in which
// everything lasting is kept. The table service is spoken to by the DynamoDB
// JSON protocol and the object store by the S3 protocol, through their client
// libraries. Users declare the few methods they need as interfaces of their own.
package platform

import (
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/aws/ratelimit"
	"github.com/aws/aws-sdk-go-v2/aws/retry"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/rotisserie/eris"
)

// The outcomes of operations that callers act upon.
var (
	// ErrNotFound means that no row or object has that name.
	ErrNotFound = eris.New("not found on the platform")
	// ErrConflict means that the write had no effect and never will, since the
	// row is not at the expected revision.
	ErrConflict = eris.New("row is not at the expected revision")
	// ErrUnsettled means that the write may have taken effect or may yet do so.
	// Whoever needs to know reads the row again and looks for the change id.
	ErrUnsettled = eris.New("outcome of the write is unknown")
	// ErrUnavailable means that the platform gave no answer.
	ErrUnavailable = eris.New("platform gave no answer")
)

// The defaults and limits of the clients.
const (
	// DefaultTimeout bounds one attempt of one operation.
	DefaultTimeout = time.Second
	// DefaultAttempts is how often an operation is sent at most.
	DefaultAttempts = 3
	// maxBackoff bounds the wait between two attempts.
	maxBackoff = 200 * time.Millisecond
	// maxConnections bounds the connections to each service.
	maxConnections = 8
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
)

// An Endpoint says where the platform is and how to sign requests to it.
type Endpoint struct {
	// TableURL and ObjectsURL are the base addresses of the two services.
	TableURL, ObjectsURL string
	// Region is the name that signatures carry.
	Region string
	// AccessKey and SecretKey are the static credentials. They are the
	// platform's, not a client account's.
	AccessKey, SecretKey string
	// TableName names the table, whose partition key is the string attribute
	// "partition" and whose sort key is the string attribute "sort".
	TableName string
	// Bucket names the bucket of the object store.
	Bucket string
}

// An Option changes how a client behaves.
type Option func(*options)

type options struct {
	timeout  time.Duration
	attempts int
	meter    *Meter
}

// WithTimeout bounds one attempt of one operation.
func WithTimeout(timeout time.Duration) Option { return func(o *options) { o.timeout = timeout } }

// WithAttempts bounds how often an operation is sent.
func WithAttempts(attempts int) Option { return func(o *options) { o.attempts = attempts } }

// WithMeter counts every attempt in a meter.
func WithMeter(meter *Meter) Option { return func(o *options) { o.meter = meter } }

func newOptions(list []Option) options {
	o := options{timeout: DefaultTimeout, attempts: DefaultAttempts}
	for _, apply := range list {
		apply(&o)
	}
	return o
}

// client returns the HTTP client of one service.
func (o options) client(service string) *http.Client {
	transport := &http.Transport{
		Proxy:               nil,
		MaxIdleConns:        maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		MaxConnsPerHost:     maxConnections,
		IdleConnTimeout:     idleTimeout,
		TLSHandshakeTimeout: o.timeout,
	}
	return &http.Client{Timeout: o.timeout, Transport: counting{meter: o.meter, service: service, next: transport}}
}

// retryer repeats attempts without the library's client-wide retry quota: each
// operation is bounded by its own attempts.
func (o options) retryer() aws.Retryer {
	return retry.NewStandard(func(so *retry.StandardOptions) {
		so.MaxAttempts = o.attempts
		so.MaxBackoff = maxBackoff
		so.RateLimiter = ratelimit.None
		so.Retryables = append([]retry.IsErrorRetryable{retry.IsErrorRetryableFunc(isPassingConflict)}, so.Retryables...)
	})
}

func (e Endpoint) credentials() aws.CredentialsProvider {
	return credentials.NewStaticCredentialsProvider(e.AccessKey, e.SecretKey, "")
}
