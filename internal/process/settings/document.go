package settings

import "github.com/bilberryvane/bilberryvane/internal/version/document"

// Document returns the settings as a part of the page docs/SETTINGS.md, which a
// test holds against it.
func Document() string { return values().Markdown() }

// values describe all options.
func values() document.KeySpecs {
	all := make(document.KeySpecs, 0, len(options))
	for _, o := range options {
		all = append(all, document.KeySpec{
			Section: o.section, Key: o.key, Required: o.required, Default: o.standard, Description: o.about,
		})
	}
	return all
}
