package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
)

// serviceObjects is the name of the object store in errors and its key in a Meter.
const serviceObjects = "object store"

// MaxObjectBytes is the maximum size of an object.
const MaxObjectBytes = 16 << 20

// An ObjectStore is a client of the object store. It is safe for concurrent use.
type ObjectStore struct {
	client *s3.Client
	bucket string
}

// NewObjectStore returns a client of the object store at an endpoint. The first
// operation opens the connection.
func NewObjectStore(e Endpoint, opts ...Option) *ObjectStore {
	o := newOptions(opts)
	client := s3.New(s3.Options{
		BaseEndpoint:               aws.String(e.ObjectsURL),
		Region:                     e.Region,
		Credentials:                e.credentials(),
		UsePathStyle:               true,
		HTTPClient:                 o.client(serviceObjects),
		Retryer:                    o.retryer(),
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &ObjectStore{client: client, bucket: e.Bucket}
}

// Get returns the content of an object, or ErrNotFound.
func (o *ObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	output, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: &o.bucket, Key: &name})
	if err != nil {
		var missing *types.NoSuchKey
		if errors.As(err, &missing) {
			return nil, fmt.Errorf("get object %q: %w", name, ErrNotFound)
		}
		return nil, fmt.Errorf("get object %q: %w: %w", name, ErrUnavailable, err)
	}
	defer output.Body.Close()
	content, err := io.ReadAll(io.LimitReader(output.Body, MaxObjectBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read object %q: %w: %w", name, ErrUnavailable, err)
	}
	if len(content) > MaxObjectBytes {
		return nil, fmt.Errorf("object %q is larger than %d bytes", name, MaxObjectBytes)
	}
	return content, nil
}

// Put writes an object. It is idempotent, so callers repeat it if an error leaves the
// outcome unknown. Callers never write different content under the same name.
func (o *ObjectStore) Put(ctx context.Context, name string, content []byte) error {
	if len(content) > MaxObjectBytes {
		return fmt.Errorf("object %q is larger than %d bytes", name, MaxObjectBytes)
	}
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: &o.bucket,
		Key:    &name,
		Body:   bytes.NewReader(content),
	})
	if err != nil {
		return fmt.Errorf("put object %q: %w: %w", name, ErrUnavailable, err)
	}
	return nil
}
