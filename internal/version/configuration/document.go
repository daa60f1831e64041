package configuration

import (
	"fmt"
	"strings"

	"github.com/bilberryvane/bilberryvane/internal/version/class"
)

// A value is one key of a section. The table of values is the single source for
// the keys that are known and for docs/SETTINGS.md.
type value struct {
	kind, key string
	required  bool
	standard  string
	about     string
}

var values = []value{
	{kind: kindService, key: keyCalls, about: "The services that this one may call, with commas between them."},
	{kind: kindClass, key: keyService, required: true, about: "The service that runs the class."},
	{
		kind: kindClass, key: keyMethod,
		about: "The HTTP method, in capitals. Without it the class covers every method that no other class with the same prefix names.",
	},
	{
		kind: kindClass, key: keyPathPrefix, standard: "/",
		about: "The start of the paths that the class covers, after the service's name: the prefix itself and all below it. The longest prefix decides.",
	},
	{
		kind: kindClass, key: keyTarget, required: true,
		about: fmt.Sprintf("The time within which a request should be answered, from %s to %s.", MinTarget, MaxTarget),
	},
	{
		kind: kindClass, key: keyImportance, required: true,
		about: fmt.Sprintf("How much the class matters when capacity runs short, from %d to %d. The highest is shed last.",
			class.MinImportance, class.MaxImportance),
	},
	{
		kind: kindClass, key: keyIdempotent, standard: "false",
		about: "`true` if a request may run more than once without harm. Otherwise callers send an `Idempotency-Key` with each request.",
	},
	{kind: kindClass, key: keyOpen, standard: "false", about: "`true` if the class is served without a key."},
	{
		kind: kindAccount, key: keyRate, required: true,
		about: fmt.Sprintf("The requests a second of the client account over all hosts together, from %g to %d.", MinRate, int(MaxRate)),
	},
	{
		kind: kindAccount, key: keyBurst, required: true,
		about: fmt.Sprintf("The requests that may come at once on top of the rate, from %d to %d.", MinBurst, int(MaxBurst)),
	},
	{kind: kindKey, key: keyAccount, required: true, about: "The client account that the key belongs to."},
	{kind: kindKey, key: keyHash, required: true, about: "The SHA-256 of the key in hexadecimal. The key itself is stored nowhere."},
	{
		kind: kindZone, key: keyShare, required: true,
		about: fmt.Sprintf("The part of every client account's rate and burst that the availability zone owns, from 0 to %d. All shares sum to %d at most.",
			MaxShare, MaxShare),
	},
}

// keysOf returns the keys that a kind of section may hold.
func keysOf(kind string) []string {
	var keys []string
	for _, v := range values {
		if v.kind == kind {
			keys = append(keys, v.key)
		}
	}
	return keys
}

// Document returns the keys of the configuration as a part of the page
// docs/SETTINGS.md, which a test holds against it.
func Document() string {
	var page strings.Builder
	page.WriteString("| section | key | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, v := range values {
		standard := "none"
		if v.required {
			standard = "must be given"
		}
		if v.standard != "" {
			standard = "`" + v.standard + "`"
		}
		fmt.Fprintf(&page, "| `%s NAME` | `%s` | %s | %s |\n", v.kind, v.key, standard, v.about)
	}
	return page.String()
}
