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

// serviceObjects names the object store in messages and counts.
const serviceObjects = "object store"

// MaxObjectSize is the largest object that is read or written, in bytes.
const MaxObjectSize = 16 << 20

// Objects is a client of the object store. It is safe for concurrent use.
type Objects struct {
	client *s3.Client
	bucket string
}

// NewObjects returns a client of the object store at an endpoint. It opens no
// connection until it is used.
func NewObjects(e Endpoint, list ...Option) *Objects {
	o := newOptions(list)
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
	return &Objects{client: client, bucket: e.Bucket}
}

// Get returns the content of an object, or ErrNotFound.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	output, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: &o.bucket, Key: &name})
	if err != nil {
		var missing *types.NoSuchKey
		if errors.As(err, &missing) {
			return nil, fmt.Errorf("get object %q: %w", name, ErrNotFound)
		}
		return nil, fmt.Errorf("get object %q: %w: %w", name, ErrUnavailable, err)
	}
	defer output.Body.Close()
	content, err := io.ReadAll(io.LimitReader(output.Body, MaxObjectSize+1))
	if err != nil {
		return nil, fmt.Errorf("read object %q: %w: %w", name, ErrUnavailable, err)
	}
	if len(content) > MaxObjectSize {
		return nil, fmt.Errorf("object %q is larger than %d bytes", name, MaxObjectSize)
	}
	return content, nil
}

// Put writes an object. Writing the same content again is harmless, so an error
// that leaves the outcome open calls for another Put. Callers never write
// differing content under one name.
func (o *Objects) Put(ctx context.Context, name string, content []byte) error {
	if len(content) > MaxObjectSize {
		return fmt.Errorf("object %q is larger than %d bytes", name, MaxObjectSize)
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
