// Package platform contains the clients of the table service and the object store, which
// hold all persistent data. The table service uses the DynamoDB JSON protocol and the
// object store the S3 protocol, through their client libraries. Packages that use the
// clients declare interfaces with the methods they need.
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

// Errors that callers handle.
var (
	// ErrNotFound means that there is no row or object with that name.
	ErrNotFound = eris.New("not found on the platform")
	// ErrConflict means that the write had no effect and never will have one, because
	// the row is not at the expected revision.
	ErrConflict = eris.New("row is not at the expected revision")
	// ErrOutcomeUnknown means that the write may have taken effect or may still take
	// effect. To find out, read the row again and compare the change id.
	ErrOutcomeUnknown = eris.New("outcome of the write is unknown")
	// ErrUnavailable means that the operation failed without a usable response.
	ErrUnavailable = eris.New("platform gave no answer")
)

// Defaults and limits of the clients.
const (
	// DefaultTimeout is the default timeout of one attempt.
	DefaultTimeout = time.Second
	// DefaultAttempts is the default maximum number of attempts per operation.
	DefaultAttempts = 3
	// maxBackoff is the maximum delay between two attempts.
	maxBackoff = 200 * time.Millisecond
	// maxConnections is the maximum number of connections to each service.
	maxConnections = 8
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second
)

// An Endpoint contains the addresses of the platform's services and the data for signing
// requests to them.
type Endpoint struct {
	// TableURL and ObjectsURL are the base URLs of the two services.
	TableURL, ObjectsURL string
	// Region is the region name used in signatures.
	Region string
	// AccessKey and SecretKey are the static credentials for the platform. They are
	// unrelated to client accounts.
	AccessKey, SecretKey string
	// TableName is the name of the table. Its partition key is the string attribute
	// "partition", its sort key the string attribute "sort".
	TableName string
	// Bucket is the bucket name in the object store.
	Bucket string
}

// An Option configures a client.
type Option func(*options)

type options struct {
	timeout  time.Duration
	attempts int
	meter    *Meter
}

// WithTimeout sets the timeout of one attempt.
func WithTimeout(timeout time.Duration) Option { return func(o *options) { o.timeout = timeout } }

// WithAttempts sets the maximum number of attempts per operation.
func WithAttempts(attempts int) Option { return func(o *options) { o.attempts = attempts } }

// WithMeter sets a meter that counts each attempt.
func WithMeter(meter *Meter) Option { return func(o *options) { o.meter = meter } }

func newOptions(opts []Option) options {
	o := options{timeout: DefaultTimeout, attempts: DefaultAttempts}
	for _, apply := range opts {
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
	return &http.Client{Timeout: o.timeout, Transport: countingTransport{meter: o.meter, service: service, next: transport}}
}

// retryer returns a retryer without the library's client-wide retry quota, because the
// number of attempts is limited per operation.
func (o options) retryer() aws.Retryer {
	return retry.NewStandard(func(so *retry.StandardOptions) {
		so.MaxAttempts = o.attempts
		so.MaxBackoff = maxBackoff
		so.RateLimiter = ratelimit.None
		so.Retryables = append([]retry.IsErrorRetryable{retry.IsErrorRetryableFunc(isTransientCancellation)}, so.Retryables...)
	})
}

func (e Endpoint) credentials() aws.CredentialsProvider {
	return credentials.NewStaticCredentialsProvider(e.AccessKey, e.SecretKey, "")
}
