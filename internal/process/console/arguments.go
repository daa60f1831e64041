// Package console implements the command bilberryvane, the operator's tool. It checks
// and publishes configurations through package distribution, and reads the state of
// nodes from their operator addresses.
package console

import (
	"fmt"
	"time"
)

// Arguments are the parsed command line of the tool.
type Arguments struct {
	Settings string `arg:"--settings,env:BILBERRYVANE_SETTINGS" default:"bilberryvane.ini" help:"file with the tool's settings"`
	Output   string `arg:"--output" default:"text" help:"text or json"`

	Check     *CheckArguments     `arg:"subcommand:check" help:"check a configuration without applying it"`
	Apply     *ApplyArguments     `arg:"subcommand:apply" help:"apply a configuration to all hosts"`
	Show      *ShowArguments      `arg:"subcommand:show" help:"show the targets or the configuration in force"`
	Keys      *KeysArguments      `arg:"subcommand:keys" help:"create, withdraw and list client account keys"`
	Status    *StatusArguments    `arg:"subcommand:status" help:"show the state of all hosts"`
	Explain   *ExplainArguments   `arg:"subcommand:explain" help:"explain why a request was refused"`
	Report    *ReportArguments    `arg:"subcommand:report" help:"report how well targets are met"`
	Release   *ReleaseArguments   `arg:"subcommand:version" help:"show the version of this tool"`
	Authority *AuthorityArguments `arg:"subcommand:authority" help:"create the certificate authority and the certificates of nodes"`
}

// Description returns the head of the help text.
func (Arguments) Description() string {
	return "bilberryvane is the operator's tool: it applies configurations, manages client account keys and shows the state of the hosts."
}

// Epilogue returns the list of exit codes that ends the help text.
func (Arguments) Epilogue() string {
	text := "Exit codes:"
	for code, meaning := range exitMeanings {
		text += fmt.Sprintf("\n  %d  %s", code, meaning)
	}
	return text
}

// CheckArguments are the arguments of check. InForce and Store are for the configuration of
// the users' platform only.
type CheckArguments struct {
	File    string `arg:"positional,required" help:"file with the configuration; - for standard input"`
	InForce string `arg:"--in-force" help:"also show what differs from the configuration in this file"`
	Store   string `arg:"--store" help:"also show what differs from the configuration in the platform's store at this address"`
	// NodeSettings is the settings file of a node.
	NodeSettings string `arg:"--node-settings" help:"also compare the attempts of routes with the retry budget in this file, the settings of a host's node"`
	Strict       bool   `arg:"--strict" help:"exit with code 1 if something is probably not meant"`
	JSON         bool   `arg:"--json" help:"the same as --output json"`
}

// ApplyArguments are the arguments of apply.
type ApplyArguments struct {
	File string        `arg:"positional,required" help:"file with the configuration"`
	Base *uint64       `arg:"--base" help:"version that the file is based on; defaults to the one that the file names, else to the version in force"`
	Wait time.Duration `arg:"--wait" default:"8s" help:"how long to wait until the change is in force on all hosts"`
}

// ShowArguments are the arguments of show.
type ShowArguments struct {
	Targets       *TargetsArguments       `arg:"subcommand:targets" help:"the request classes with their targets"`
	Configuration *ConfigurationArguments `arg:"subcommand:configuration" help:"the configuration in force, for editing"`
}

// TargetsArguments are the arguments of show targets.
type TargetsArguments struct{}

// ConfigurationArguments are the arguments of show configuration.
type ConfigurationArguments struct{}

// KeysArguments are the arguments of keys.
type KeysArguments struct {
	Give     *GiveArguments     `arg:"subcommand:give" help:"create a key and print it once"`
	Withdraw *WithdrawArguments `arg:"subcommand:withdraw" help:"withdraw a key"`
	List     *ListArguments     `arg:"subcommand:list" help:"list the keys in force"`
}

// GiveArguments are the arguments of keys give.
type GiveArguments struct {
	Account string        `arg:"positional,required" help:"client account that the key is for"`
	ID      string        `arg:"positional,required" help:"name of the key"`
	Wait    time.Duration `arg:"--wait" default:"8s" help:"how long to wait until the key works on all hosts"`
}

// WithdrawArguments are the arguments of keys withdraw.
type WithdrawArguments struct {
	ID   string        `arg:"positional,required" help:"name of the key"`
	Wait time.Duration `arg:"--wait" default:"8s" help:"how long to wait until the key is refused on all hosts"`
}

// ListArguments are the arguments of keys list.
type ListArguments struct{}

// StatusArguments are the arguments of status.
type StatusArguments struct{}

// ExplainArguments are the arguments of explain.
type ExplainArguments struct {
	RequestID string   `arg:"positional" help:"the request's id from its refusal"`
	Logs      []string `arg:"--log,separate" help:"read this log file instead of asking the hosts; - for standard input; may be repeated"`
	Worst     bool     `arg:"--worst" help:"list the causes of all refusals in the logs, the most frequent first"`
}

// ReportArguments are the arguments of report.
type ReportArguments struct {
	Burn *BurnArguments `arg:"subcommand:burn" help:"the burn rate of the service level by class and client account"`
}

// BurnArguments are the arguments of report burn.
type BurnArguments struct {
	Picture string `arg:"--picture" help:"also write a picture to this PNG file"`
}

// ReleaseArguments are the arguments of version.
type ReleaseArguments struct{}

// AuthorityArguments are the arguments of authority.
type AuthorityArguments struct {
	Init  *InitArguments  `arg:"subcommand:init" help:"create the certificate authority of a deployment"`
	Issue *IssueArguments `arg:"subcommand:issue" help:"create the certificate of a node"`
}

// InitArguments are the arguments of authority init.
type InitArguments struct {
	Directory string        `arg:"--directory" default:"." help:"directory to write authority.pem, authority.key and group.key to"`
	Lifetime  time.Duration `arg:"--lifetime" default:"87600h" help:"how long the authority is valid"`
}

// IssueArguments are the arguments of authority issue.
type IssueArguments struct {
	Host      string        `arg:"positional,required" help:"the host's name"`
	Zone      string        `arg:"positional,required" help:"the host's availability zone"`
	Addresses []string      `arg:"--address,separate" help:"IP address of the host; may be repeated"`
	Directory string        `arg:"--directory" default:"." help:"directory of authority.pem and authority.key, and of the files to write"`
	Lifetime  time.Duration `arg:"--lifetime" default:"8760h" help:"how long the certificate is valid"`
}
