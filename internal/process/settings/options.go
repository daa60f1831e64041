package settings

import (
	"net"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/version/document"
)

// Value ranges of the settings.
const (
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 4 << 20
	maxConnections = 1 << 20
	maxQueue       = 1 << 16
	minTimeout     = time.Millisecond
	maxTimeout     = 10 * time.Minute
	maxKeyOffline  = 30 * 24 * time.Hour
	minRetention   = time.Second
	maxRetention   = 30 * 24 * time.Hour
)

var options = []option{
	{
		section: "host", key: "name", required: true, description: "The host's name, unique in the deployment.",
		read: func(r *Settings, s *document.Section, k string) { r.Host.Name = s.Text(k, "") },
	},
	{
		section: "host", key: "zone", required: true, description: "The host's availability zone.",
		read: func(r *Settings, s *document.Section, k string) { r.Host.Zone = s.Text(k, "") },
	},
	{
		section: "host", key: "region", defaultValue: "default", description: "The region of the availability zone.",
		read: func(r *Settings, s *document.Section, k string) { r.Host.Region = s.Text(k, "default") },
	},
	{
		section: "listen", key: "callers", required: true, description: "The IP address and port for callers, over HTTP.",
		read: func(r *Settings, s *document.Section, k string) { r.Listen.Callers = s.Address(k, "") },
	},
	{
		section: "listen", key: "peers", required: true, description: "The IP address and UDP port for other nodes, over QUIC.",
		read: func(r *Settings, s *document.Section, k string) { r.Listen.Peers = s.Address(k, "") },
	},
	{
		section: "listen", key: "backend-server", required: true,
		description: "The loopback address and port for the host's own backend server.",
		read:        readBackendAddress,
	},
	{
		section: "listen", key: "operators", required: true, description: "The IP address and port for the operators' tool.",
		read: func(r *Settings, s *document.Section, k string) { r.Listen.Operators = s.Address(k, "") },
	},
	{
		section: "platform", key: "table-endpoint", required: true, description: "The URL of the table service.",
		read: func(r *Settings, s *document.Section, k string) { r.Platform.TableEndpoint = s.Text(k, "") },
	},
	{
		section: "platform", key: "table", defaultValue: "bilberryvane", description: "The name of the table.",
		read: func(r *Settings, s *document.Section, k string) { r.Platform.Table = s.Text(k, "bilberryvane") },
	},
	{
		section: "platform", key: "object-endpoint", required: true, description: "The URL of the object store.",
		read: func(r *Settings, s *document.Section, k string) { r.Platform.ObjectEndpoint = s.Text(k, "") },
	},
	{
		section: "platform", key: "bucket", defaultValue: "bilberryvane", description: "The name of the bucket.",
		read: func(r *Settings, s *document.Section, k string) { r.Platform.Bucket = s.Text(k, "bilberryvane") },
	},
	{
		section: "platform", key: "region", defaultValue: "platform-1", description: "The platform's name for the region.",
		read: func(r *Settings, s *document.Section, k string) { r.Platform.Region = s.Text(k, "platform-1") },
	},
	{
		section: "platform", key: "access-key", required: true, description: "The access key for both services.",
		read: func(r *Settings, s *document.Section, k string) { r.Platform.AccessKey = s.Text(k, "") },
	},
	{
		section: "platform", key: "secret-key", required: true, description: "The secret key for both services.",
		read: func(r *Settings, s *document.Section, k string) { r.Platform.SecretKey = s.Text(k, "") },
	},
	{
		section: "platform", key: "timeout", defaultValue: "1s", description: "The timeout of one call to the platform.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Platform.Timeout = s.Duration(k, time.Second, minTimeout, maxTimeout)
		},
	},
	{
		section: "peers", key: "seeds", description: "The initial peer addresses, separated by commas.",
		read: readSeeds,
	},
	{
		section: "peers", key: "authority", required: true, description: "The file with the certificate of the deployment's authority.",
		read: func(r *Settings, s *document.Section, k string) { r.Peers.AuthorityFile = s.Text(k, "") },
	},
	{
		section: "peers", key: "certificate", required: true, description: "The file with the node's certificate.",
		read: func(r *Settings, s *document.Section, k string) { r.Peers.CertificateFile = s.Text(k, "") },
	},
	{
		section: "peers", key: "private-key", required: true, description: "The file with the node's private key.",
		read: func(r *Settings, s *document.Section, k string) { r.Peers.PrivateKeyFile = s.Text(k, "") },
	},
	{
		section: "peers", key: "group-key", required: true,
		description: "The file with the keys that authenticate membership messages, one key of 64 hexadecimal digits per line. The first key seals.",
		read:        func(r *Settings, s *document.Section, k string) { r.Peers.GroupKeyFile = s.Text(k, "") },
	},
	{
		section: "limits", key: "header-bytes", defaultValue: "16384", description: "The maximum size of a request's headers.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Limits.MaxHeaderBytes = s.Int(k, 16<<10, minHeaderBytes, maxHeaderBytes)
		},
	},
	{
		section: "limits", key: "body-bytes", defaultValue: "1048576", description: "The maximum size of a request's body.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Limits.MaxBodyBytes = s.Int(k, 1<<20, minBodyBytes, maxBodyBytes)
		},
	},
	{
		section: "limits", key: "caller-connections", defaultValue: "10000", description: "The maximum number of connections of callers.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Limits.MaxCallerConnections = s.Int(k, 10000, 1, maxConnections)
		},
	},
	{
		section: "limits", key: "queue", defaultValue: "1024", description: "The maximum number of requests queued for the backend server.",
		read: func(r *Settings, s *document.Section, k string) { r.Limits.MaxQueue = s.Int(k, 1024, 1, maxQueue) },
	},
	{
		section: "timing", key: "drain", defaultValue: "2s",
		description: "How long a leaving node still accepts requests while other nodes are notified that it is leaving.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Timing.Drain = s.Duration(k, 2*time.Second, 0, maxTimeout)
		},
	},
	{
		section: "timing", key: "shutdown", defaultValue: "30s", description: "The maximum duration of a shutdown.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Timing.ShutdownTimeout = s.Duration(k, 30*time.Second, minTimeout, maxTimeout)
		},
	},
	{
		section: "timing", key: "announce-expiry", defaultValue: "3s",
		description: "How long a backend server is considered present without a new announcement.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Timing.AnnounceExpiry = s.Duration(k, 3*time.Second, minTimeout, maxTimeout)
		},
	},
	{
		section: "keys", key: "bound", defaultValue: "24h",
		description: "How long a node trusts its keys while it is cut off from the platform and from all nodes that can reach it; 0s means forever.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Keys.MaxOffline = s.Duration(k, 24*time.Hour, 0, maxKeyOffline)
		},
	},
	{
		section: "claims", key: "retention", defaultValue: "24h",
		description: "How long the outcome of an at-most-once request is kept; a later retry may run again. Must be equal on all hosts.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Claims.Retention = s.Duration(k, 24*time.Hour, minRetention, maxRetention)
		},
	},
}

func readBackendAddress(r *Settings, s *document.Section, key string) {
	r.Listen.Backend = s.Address(key, "")
	host, _, err := net.SplitHostPort(r.Listen.Backend)
	if address := net.ParseIP(host); err == nil && address != nil && !address.IsLoopback() {
		s.Reportf(key, "key %q: %q is not a loopback address", key, r.Listen.Backend)
	}
}

func readSeeds(r *Settings, s *document.Section, key string) {
	r.Peers.Seeds = s.List(key)
	for _, seed := range r.Peers.Seeds {
		if err := document.CheckAddress(seed); err != nil {
			s.Reportf(key, "key %q: %v", key, err)
		}
	}
}
