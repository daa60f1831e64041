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

// The ranges of the tool's settings.
const (
	minTimeout = time.Millisecond
	maxTimeout = time.Minute
	// defaultTimeout bounds one call of the platform or of a node.
	defaultTimeout = 2 * time.Second
)

// The sections and keys of the tool's settings, as docs/OPERATORS.md lists them.
var settingsValues = document.KeySpecs{
	{Section: "platform", Key: "table-endpoint", Required: true, Description: "The URL of the table service."},
	{Section: "platform", Key: "table", Default: "bilberryvane", Description: "The name of the table."},
	{Section: "platform", Key: "object-endpoint", Required: true, Description: "The URL of the object store."},
	{Section: "platform", Key: "bucket", Default: "bilberryvane", Description: "The name of the bucket."},
	{Section: "platform", Key: "region", Default: "platform-1", Description: "The platform's name of the region."},
	{Section: "platform", Key: "access-key", Required: true, Description: "The access key for both services."},
	{Section: "platform", Key: "secret-key", Required: true, Description: "The secret key for both services."},
	{Section: "platform", Key: "timeout", Default: "2s", Description: "How long one call of the platform or of a host may take, from 1ms to 1m."},
	{Section: "nodes", Key: "operators", Required: true, Description: "Operator addresses of some hosts in each availability zone, with commas between them. They tell of the other hosts, whose operator port is taken to be the same."},
	{Section: "operator", Key: "name", Description: "The name under which changes are made; without it the name of the user."},
}

// Settings are the settings of the tool.
type Settings struct {
	// Platform says where the platform is.
	Platform platform.Endpoint
	// Timeout bounds one call of the platform or of a node.
	Timeout time.Duration
	// Nodes are the operator addresses of some nodes; they tell of the others.
	Nodes []string
	// Operator is the name under which changes are made.
	Operator string
}

// ReadSettings reads and checks the settings whole. The error of faulty settings
// is document.Faults.
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
		known := settingsValues.KeysOf(section.Kind())
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
		at := &s.Platform
		at.TableURL = section.Text("table-endpoint", "")
		at.ObjectsURL = section.Text("object-endpoint", "")
		at.AccessKey = section.Text("access-key", "")
		at.SecretKey = section.Text("secret-key", "")
		at.TableName = section.Text("table", at.TableName)
		at.Bucket = section.Text("bucket", at.Bucket)
		at.Region = section.Text("region", at.Region)
		s.Timeout = section.Duration("timeout", defaultTimeout, minTimeout, maxTimeout)
	case "nodes":
		section.Require("operators")
		s.Nodes = section.List("operators")
		if slices.ContainsFunc(s.Nodes, notAddress) {
			section.Reportf("operators", "key %q: each must be an IP address with a port", "operators")
		}
	case "operator":
		s.Operator = section.Text("name", s.Operator)
	}
}

// notAddress reports an address that is not an IP with a port.
func notAddress(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err != nil || net.ParseIP(host) == nil
}
