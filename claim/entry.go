package claim

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryvane/bilberryvane/shard"
)

func decode(record shard.Record) (entry, error) {
	var e entry
	if err := cbor.Unmarshal(record.Value, &e); err != nil {
		return entry{}, fmt.Errorf("decode a claim: %w", err)
	}
	return e, nil
}

// sinceOf returns when a claim began, or zero if it can't be read.
func sinceOf(record shard.Record) int64 {
	e, err := decode(record)
	if err != nil {
		return 0
	}
	return e.Since
}

func sortAges(ages []age) {
	slices.SortFunc(ages, func(a, b age) int {
		if a.since != b.since {
			return cmp.Compare(a.since, b.since)
		}
		return cmp.Compare(a.key, b.key)
	})
}
