package settings

import (
	"net"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/version/document"
)

// The ranges of the settings.
const (
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 4 << 20
	maxConnections = 1 << 20
	maxQueue       = 1 << 16
	minTimeout     = time.Millisecond
	maxTimeout     = 10 * time.Minute
	maxKeyBound    = 30 * 24 * time.Hour
	minRetention   = time.Second
	maxRetention   = 30 * 24 * time.Hour
)

var options = []option{
	{
		section: "host", key: "name", required: true, about: "The host's name, unique in the deployment.",
		read: func(r *Settings, s *document.Section, k string) { r.Host.Name = s.Text(k, "") },
	},
	{
		section: "host", key: "zone", required: true, about: "The host's availability zone.",
		read: func(r *Settings, s *document.Section, k string) { r.Host.Zone = s.Text(k, "") },
	},
	{
		section: "host", key: "region", standard: "default", about: "The region of the availability zone.",
		read: func(r *Settings, s *document.Section, k string) { r.Host.Region = s.Text(k, "default") },
	},
	{
		section: "listen", key: "callers", required: true, about: "The IP address and port for callers, over HTTP.",
		read: func(r *Settings, s *document.Section, k string) { r.Listen.Callers = s.Address(k, "") },
	},
	{
		section: "listen", key: "peers", required: true, about: "The IP address and UDP port for other nodes, over QUIC.",
		read: func(r *Settings, s *document.Section, k string) { r.Listen.Peers = s.Address(k, "") },
	},
	{
		section: "listen", key: "backend-server", required: true,
		about: "The loopback address and port for the host's own backend server.",
		read:  readBackendAddress,
	},
	{
		section: "listen", key: "operators", required: true, about: "The IP address and port for the operators' tool.",
		read: func(r *Settings, s *document.Section, k string) { r.Listen.Operators = s.Address(k, "") },
	},
	{
		section: "platform", key: "table-endpoint", required: true, about: "The URL of the table service.",
		read: func(r *Settings, s *document.Section, k string) { r.Platform.TableEndpoint = s.Text(k, "") },
	},
	{
		section: "platform", key: "table", standard: "bilberryvane", about: "The name of the table.",
		read: func(r *Settings, s *document.Section, k string) { r.Platform.Table = s.Text(k, "bilberryvane") },
	},
	{
		section: "platform", key: "object-endpoint", required: true, about: "The URL of the object store.",
		read: func(r *Settings, s *document.Section, k string) { r.Platform.ObjectEndpoint = s.Text(k, "") },
	},
	{
		section: "platform", key: "bucket", standard: "bilberryvane", about: "The name of the bucket.",
		read: func(r *Settings, s *document.Section, k string) { r.Platform.Bucket = s.Text(k, "bilberryvane") },
	},
	{
		section: "platform", key: "region", standard: "platform-1", about: "The platform's name of the region.",
		read: func(r *Settings, s *document.Section, k string) { r.Platform.Region = s.Text(k, "platform-1") },
	},
	{
		section: "platform", key: "access-key", required: true, about: "The access key for both services.",
		read: func(r *Settings, s *document.Section, k string) { r.Platform.AccessKey = s.Text(k, "") },
	},
	{
		section: "platform", key: "secret-key", required: true, about: "The secret key for both services.",
		read: func(r *Settings, s *document.Section, k string) { r.Platform.SecretKey = s.Text(k, "") },
	},
	{
		section: "platform", key: "timeout", standard: "1s", about: "How long one call may take.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Platform.Timeout = s.Duration(k, time.Second, minTimeout, maxTimeout)
		},
	},
	{
		section: "peers", key: "seeds", about: "Peer addresses to start from, with commas between them.",
		read: readSeeds,
	},
	{
		section: "peers", key: "authority", required: true, about: "The file with the certificate of the deployment's authority.",
		read: func(r *Settings, s *document.Section, k string) { r.Peers.Authority = s.Text(k, "") },
	},
	{
		section: "peers", key: "certificate", required: true, about: "The file with the node's certificate.",
		read: func(r *Settings, s *document.Section, k string) { r.Peers.Certificate = s.Text(k, "") },
	},
	{
		section: "peers", key: "private-key", required: true, about: "The file with the node's private key.",
		read: func(r *Settings, s *document.Section, k string) { r.Peers.PrivateKey = s.Text(k, "") },
	},
	{
		section: "peers", key: "group-key", required: true,
		about: "The file with the keys that authenticate membership messages: 64 hexadecimal digits a line, the first one seals.",
		read:  func(r *Settings, s *document.Section, k string) { r.Peers.GroupKey = s.Text(k, "") },
	},
	{
		section: "limits", key: "header-bytes", standard: "16384", about: "The largest size of a request's headers.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Limits.HeaderBytes = s.Int(k, 16<<10, minHeaderBytes, maxHeaderBytes)
		},
	},
	{
		section: "limits", key: "body-bytes", standard: "1048576", about: "The largest size of a request's body.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Limits.BodyBytes = s.Int(k, 1<<20, minBodyBytes, maxBodyBytes)
		},
	},
	{
		section: "limits", key: "caller-connections", standard: "10000", about: "The most connections of callers.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Limits.CallerConnections = s.Int(k, 10000, 1, maxConnections)
		},
	},
	{
		section: "limits", key: "queue", standard: "1024", about: "The most requests that wait for the backend server.",
		read: func(r *Settings, s *document.Section, k string) { r.Limits.Queue = s.Int(k, 1024, 1, maxQueue) },
	},
	{
		section: "timing", key: "drain", standard: "2s",
		about: "How long a leaving node still takes requests while others learn that it leaves.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Timing.Drain = s.Duration(k, 2*time.Second, 0, maxTimeout)
		},
	},
	{
		section: "timing", key: "shutdown", standard: "30s", about: "How long a shutdown may take at the most.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Timing.Shutdown = s.Duration(k, 30*time.Second, minTimeout, maxTimeout)
		},
	},
	{
		section: "timing", key: "announce-expiry", standard: "3s",
		about: "How long a backend server counts as present without announcing itself again.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Timing.AnnounceExpiry = s.Duration(k, 3*time.Second, minTimeout, maxTimeout)
		},
	},
	{
		section: "keys", key: "bound", standard: "24h",
		about: "How long a node that is cut off from the platform and from all nodes that reach it trusts its keys; 0s is without end.",
		read: func(r *Settings, s *document.Section, k string) {
			r.Keys.Bound = s.Duration(k, 24*time.Hour, 0, maxKeyBound)
		},
	},
	{
		section: "claims", key: "retention", standard: "24h",
		about: "How long the outcome of work that runs at most once is kept; sent again later than that, it may run again. Equal on all hosts.",
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
