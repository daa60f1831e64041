package configuration

import (
	"fmt"

	"github.com/bilberryvane/bilberryvane/internal/version/class"
	"github.com/bilberryvane/bilberryvane/internal/version/document"
)

// keySpecs describes the keys of each section kind. It is the single source for
// validation and for docs/SETTINGS.md.
var keySpecs = document.KeySpecs{
	{Section: kindService, Key: keyCalls, Description: "The services that this service may call, separated by commas."},
	{Section: kindClass, Key: keyService, Required: true, Description: "The service that the class belongs to."},
	{
		Section: kindClass, Key: keyMethod,
		Description: "The HTTP method, in upper case. If omitted, the class matches every method that no other class with the same prefix specifies.",
	},
	{
		Section: kindClass, Key: keyPathPrefix, Default: "/",
		Description: "The path prefix of the class, after the service's name. It matches itself and all paths below it; the longest prefix wins.",
	},
	{
		Section: kindClass, Key: keyTarget, Required: true,
		Description: fmt.Sprintf("The target response time of a request, from %s to %s.", MinTarget, MaxTarget),
	},
	{
		Section: kindClass, Key: keyImportance, Required: true,
		Description: fmt.Sprintf("The importance of the class under overload, from %d to %d. Classes with the highest importance are shed last.",
			class.MinImportance, class.MaxImportance),
	},
	{
		Section: kindClass, Key: keyIdempotent, Default: "false",
		Description: "`true` if a request may safely run more than once. Otherwise callers must send an `Idempotency-Key` with each request.",
	},
	{Section: kindClass, Key: keyOpen, Default: "false", Description: "`true` if requests of the class need no key."},
	{
		Section: kindAccount, Key: keyRate, Required: true,
		Description: fmt.Sprintf("The rate of the client account in requests per second, over all hosts together, from %g to %d.", MinRate, int(MaxRate)),
	},
	{
		Section: kindAccount, Key: keyBurst, Required: true,
		Description: fmt.Sprintf("The burst of requests that the client account may send above its rate, from %d to %d.", MinBurst, int(MaxBurst)),
	},
	{Section: kindKey, Key: keyAccount, Required: true, Description: "The client account that the key belongs to."},
	{Section: kindKey, Key: keyHash, Required: true, Description: "The hexadecimal SHA-256 of the key. The key itself is not stored."},
	{
		Section: kindZone, Key: keyShare, Required: true,
		Description: fmt.Sprintf("The fraction of every client account's rate and burst that the availability zone owns, from 0 to %d. All shares sum to at most %d.",
			MaxShare, MaxShare),
	},
}

// Markdown returns the table of configuration keys in docs/SETTINGS.md. A test
// compares the two.
func Markdown() string {
	named := make(document.KeySpecs, 0, len(keySpecs))
	for _, v := range keySpecs {
		v.Section += " NAME"
		named = append(named, v)
	}
	return named.Markdown()
}
