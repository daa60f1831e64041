package console

import (
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/process/platform"
	"github.com/bilberryvane/bilberryvane/internal/version/document"
)

// The range and default of the setting timeout.
const (
	minTimeout = time.Millisecond
	maxTimeout = time.Minute
	// defaultTimeout limits one call to the platform or to a node.
	defaultTimeout = 2 * time.Second
)

// The sections and keys of the tool's settings, as docs/OPERATORS.md lists them.
var settingsSpecs = document.KeySpecs{
	{Section: "platform", Key: "table-endpoint", Required: true, Description: "The URL of the table service."},
	{Section: "platform", Key: "table", Default: "bilberryvane", Description: "The name of the table."},
	{Section: "platform", Key: "object-endpoint", Required: true, Description: "The URL of the object store."},
	{Section: "platform", Key: "bucket", Default: "bilberryvane", Description: "The name of the bucket."},
	{Section: "platform", Key: "region", Default: "platform-1", Description: "The platform's name for the region."},
	{Section: "platform", Key: "access-key", Required: true, Description: "The access key for both services."},
	{Section: "platform", Key: "secret-key", Required: true, Description: "The secret key for both services."},
	{Section: "platform", Key: "timeout", Default: "2s", Description: "The timeout of one call to the platform or to a host, from 1ms to 1m."},
	{Section: "nodes", Key: "operators", Required: true, Description: "Comma-separated operator addresses of some hosts in each availability zone. The other hosts are discovered from them and must use the same operator port."},
	{Section: "operator", Key: "name", Description: "The author recorded with changes. Defaults to the name of the user."},
}

// Settings are the settings of the tool.
type Settings struct {
	// Platform is the address of the platform's services, with their credentials.
	Platform platform.Endpoint
	// Timeout limits one call to the platform or to a node.
	Timeout time.Duration
	// Nodes are the operator addresses of the nodes from which the others are discovered.
	Nodes []string
	// Operator is the author recorded with changes.
	Operator string
}

// ReadSettings reads and checks the settings file. It returns document.Faults for
// invalid settings.
func ReadSettings(file string) (Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	d := document.Parse(file, content)
	d.ReportDuplicates()
	s := Settings{Timeout: defaultTimeout, Operator: os.Getenv("USER")}
	s.Platform.TableName, s.Platform.Bucket, s.Platform.Region = "bilberryvane", "bilberryvane", "platform-1"
	for _, section := range d.Sections() {
		known := settingsSpecs.KeysOf(section.Kind())
		if len(known) == 0 || section.Name() != "" {
			d.Reportf(section.Line(), "unknown section %q", section.Kind())
			continue
		}
		section.ReportUnknown(known...)
		s.read(section)
	}
	if err := d.Err(); err != nil {
		return Settings{}, fmt.Errorf("check settings: %w", err)
	}
	return s, nil
}

func (s *Settings) read(section *document.Section) {
	switch section.Kind() {
	case "platform":
		section.Require("table-endpoint", "object-endpoint", "access-key", "secret-key")
		endpoint := &s.Platform
		endpoint.TableURL = section.Text("table-endpoint", "")
		endpoint.ObjectsURL = section.Text("object-endpoint", "")
		endpoint.AccessKey = section.Text("access-key", "")
		endpoint.SecretKey = section.Text("secret-key", "")
		endpoint.TableName = section.Text("table", endpoint.TableName)
		endpoint.Bucket = section.Text("bucket", endpoint.Bucket)
		endpoint.Region = section.Text("region", endpoint.Region)
		s.Timeout = section.Duration("timeout", defaultTimeout, minTimeout, maxTimeout)
	case "nodes":
		section.Require("operators")
		s.Nodes = section.List("operators")
		if slices.ContainsFunc(s.Nodes, isInvalidAddress) {
			section.Reportf("operators", "key %q: each must be an IP address with a port", "operators")
		}
	case "operator":
		s.Operator = section.Text("name", s.Operator)
	}
}

// isInvalidAddress reports whether an address is not an IP address with a port.
func isInvalidAddress(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err != nil || net.ParseIP(host) == nil
}
