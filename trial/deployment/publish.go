package deployment

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/process/distribution"
	"github.com/bilberryvane/bilberryvane/internal/process/platform"
)

const (
	// publishTimeout limits the wait for the start of the platform.
	publishTimeout = 10 * time.Second
	// publishRetryInterval is the time between attempts.
	publishRetryInterval = 50 * time.Millisecond
)

// Endpoint returns the endpoint and credentials of the fake platform.
func (d *Deployment) Endpoint() platform.Endpoint {
	url := "http://" + d.Layout.PlatformAddress
	return platform.Endpoint{
		TableURL: url, ObjectsURL: url, Region: "platform-1",
		AccessKey: "trial", SecretKey: "trial",
		TableName: "bilberryvane", Bucket: "bilberryvane",
	}
}

// Registry returns the configuration registry on the fake platform.
func (d *Deployment) Registry() *distribution.Registry {
	endpoint := d.Endpoint()
	return distribution.NewRegistry(platform.NewTable(endpoint), platform.NewObjectStore(endpoint))
}

// Publish publishes the deployment's configuration as version 1. It retries until
// the platform responds or publishTimeout is over.
func (d *Deployment) Publish() error {
	content, err := os.ReadFile(d.ConfigurationPath)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	change := distribution.Change{ID: "deployment", Content: content, Author: "trial", Published: time.Now()}
	for {
		_, err := d.Registry().Publish(ctx, change)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(publishRetryInterval):
		case <-ctx.Done():
			return fmt.Errorf("publish configuration: %w", err)
		}
	}
}
