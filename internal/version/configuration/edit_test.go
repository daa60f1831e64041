package configuration_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/internal/version/key"
)

// Adding and removing keys in any order keeps the rest of the document: its
// comments, its order and its other keys.
func TestKeyEditsPreserveRestOfDocument(t *testing.T) {
	base := strings.Replace(fullDocument, "[account nord]", "# the north\n\n; shops\n[account nord]", 1)
	rapid.Check(t, func(t *rapid.T) {
		content := []byte(base)
		active := map[string]bool{"nord-tablets": true}
		for i := range rapid.IntRange(1, 12).Draw(t, "edits") {
			id := fmt.Sprintf("key-%d", rapid.IntRange(0, 3).Draw(t, "id"))
			var err error
			edited := content
			want := error(nil)
			if rapid.Bool().Draw(t, "give") {
				if active[id] {
					want = configuration.ErrKeyExists
				}
				edited, err = configuration.AddKey("c.ini", content, key.Key{ID: id, Account: "nord", Hash: key.HashOf(fmt.Sprint(id, i))})
				active[id] = true
			} else {
				if !active[id] {
					want = configuration.ErrKeyNotFound
				}
				edited, err = configuration.RemoveKey("c.ini", content, id)
				delete(active, id)
			}
			if !errors.Is(err, want) {
				t.Fatalf("edit of %s returned %v, want %v", id, err, want)
			}
			if err == nil {
				content = edited
			}
			s, err := configuration.Parse("c.ini", content)
			if err != nil || len(s.Keys()) != len(active) {
				t.Fatalf("keys are %v, want %v (error %v)", s.Keys(), active, err)
			}
		}
		for id := range active {
			if id != "nord-tablets" {
				var err error
				if content, err = configuration.RemoveKey("c.ini", content, id); err != nil {
					t.Fatal(err)
				}
			}
		}
		if strings.TrimSpace(string(content)) != strings.TrimSpace(base) {
			t.Fatalf("the document changed to\n%s", content)
		}
	})
}

func TestRemoveKeyPreservesCommentsOfNextSection(t *testing.T) {
	is := is.New(t)
	edited, err := configuration.RemoveKey("shop.ini", []byte(strings.Replace(fullDocument, "[zone", "\n# zones\n[zone", 1)), "nord-tablets")
	is.NoErr(err)
	is.True(strings.HasSuffix(string(edited), "burst = 50\n# zones\n[zone herning-1]\nshare = 0.34\n"))
	_, err = configuration.AddKey("shop.ini", edited, key.Key{ID: "x", Account: "sued"})
	is.True(errors.Is(err, configuration.ErrAccountNotFound))
}
