package mesh

import (
	"time"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/internal/process/evacuation"
	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
	"github.com/bilberryvane/bilberryvane/internal/process/quota"
	"github.com/bilberryvane/bilberryvane/internal/process/zoneload"
	"github.com/bilberryvane/bilberryvane/internal/request/relay"
	"github.com/bilberryvane/bilberryvane/quarantine"
)

// ProtocolVersion is the version of the protocol between nodes. Notices of another
// version are dropped.
const ProtocolVersion = 3

// A request is sent to another node. Exactly one of its fields is set.
type request struct {
	// Order is to be executed on the receiver's backend server.
	Order *relay.Order `cbor:"1,keyasint,omitempty"`
	// Loan asks for one request of a client account's rate.
	Loan *Loan `cbor:"2,keyasint,omitempty"`
	// Configuration asks for a configuration that is newer than this version.
	Configuration *uint64 `cbor:"3,keyasint,omitempty"`
	// Hosts asks for the records of all hosts.
	Hosts bool `cbor:"4,keyasint,omitempty"`
}

// A configurationReply holds a configuration as the operator wrote it; no content if the
// receiver has none that is newer.
type configurationReply struct {
	Version uint64 `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint,omitempty"`
}

// A hostsReply holds the records of all hosts in a node's directory.
type hostsReply struct {
	Hosts []fleet.Host `cbor:"1,keyasint"`
}

// A Loan asks for one request of the receiver's share of a client account's rate. Rank
// is the rank of the route that needs it.
type Loan struct {
	Account string `cbor:"1,keyasint"`
	Rank    int    `cbor:"2,keyasint"`
}

// A LoanReply is the reply to a Loan.
type LoanReply struct {
	Granted bool `cbor:"1,keyasint"`
	// RetryAfter is the time until the receiver's share has a request left, if it was
	// not granted and the receiver holds a share for other hosts.
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
	// Low reports that the granted request left few in the receiver's share.
	Low bool `cbor:"3,keyasint,omitempty"`
}

// A Notice holds a node's state for other nodes.
type Notice struct {
	Protocol int `cbor:"1,keyasint"`
	// Host is the sender's own record. Only its name is set if that revision was
	// already sent on the same trunk.
	Host fleet.Host `cbor:"2,keyasint"`
	// Version is the version of the configuration in force at the sender.
	Version uint64 `cbor:"4,keyasint,omitempty"`
	// Demand is the sender's recent requests per second by client account.
	Demand map[string]float64 `cbor:"6,keyasint,omitempty"`
	// Rates is what the sender states about its parts of the rates of client accounts.
	Rates quota.Statements `cbor:"21,keyasint,omitzero"`
	// Report holds the demand of root requests at the sender and the load of its
	// backend server. Hosts of a small fleet send it to all others.
	Report *admission.HostReport `cbor:"7,keyasint,omitempty"`
	// Returned are client accounts for which the sender gives back one request that the
	// receiver granted.
	Returned []string `cbor:"8,keyasint,omitempty"`
	// ZoneReport is the sender's report for the summary of its zone, which the receiver
	// carries. Summaries are those of zones. Both are sent in a large fleet only.
	ZoneReport *admission.HostReport `cbor:"9,keyasint,omitempty"`
	Summaries  []zoneload.Summary    `cbor:"10,keyasint,omitempty"`
	// StoreCheck is the last check that the store holds no newer configuration than Version.
	StoreCheck StoreCheck `cbor:"13,keyasint,omitzero"`
	// Evacuations are the availability zones that are or were evacuated, as the sender knows.
	Evacuations []evacuation.State `cbor:"14,keyasint,omitempty"`
	// StoreEra is the highest era of the store that the sender knows.
	StoreEra uint64 `cbor:"20,keyasint,omitempty"`
	// Strikes are those of requests that crash backend servers of the service that both
	// hosts offer.
	Strikes []quarantine.Rumour `cbor:"12,keyasint,omitempty"`
}
