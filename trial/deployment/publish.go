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
	// publishTimeout bounds the wait for a platform that is starting.
	publishTimeout = 10 * time.Second
	// publishPoll is the time between two attempts.
	publishPoll = 50 * time.Millisecond
)

// Endpoint returns where the platform's stand-in is.
func (d *Deployment) Endpoint() platform.Endpoint {
	url := "http://" + d.Layout.Platform
	return platform.Endpoint{
		TableURL: url, ObjectsURL: url, Region: "platform-1",
		AccessKey: "trial", SecretKey: "trial",
		TableName: "bilberryvane", Bucket: "bilberryvane",
	}
}

// Registry returns the registry of configurations on the platform's stand-in.
func (d *Deployment) Registry() *distribution.Registry {
	at := d.Endpoint()
	return distribution.NewRegistry(platform.NewTable(at), platform.NewObjects(at))
}

// Publish makes the deployment's configuration version 1. It waits until the
// platform answers.
func (d *Deployment) Publish() error {
	content, err := os.ReadFile(d.Configuration)
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
		case <-time.After(publishPoll):
		case <-ctx.Done():
			return fmt.Errorf("publish configuration: %w", err)
		}
	}
}
