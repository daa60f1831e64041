package settings

import "github.com/bilberryvane/bilberryvane/internal/version/document"

// Markdown returns the table of settings in docs/SETTINGS.md. A test compares the
// two.
func Markdown() string { return keySpecs().Markdown() }

// keySpecs returns the specifications of all options.
func keySpecs() document.KeySpecs {
	specs := make(document.KeySpecs, 0, len(options))
	for _, o := range options {
		specs = append(specs, document.KeySpec{
			Section: o.section, Key: o.key, Required: o.required, Default: o.defaultValue, Description: o.description,
		})
	}
	return specs
}
