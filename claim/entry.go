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

// createdMillis returns when a claim was created, or zero if it can't be decoded.
func createdMillis(record shard.Record) int64 {
	e, err := decode(record)
	if err != nil {
		return 0
	}
	return e.CreatedMillis
}

func sortByAge(entries []keyAge) {
	slices.SortFunc(entries, func(a, b keyAge) int {
		if a.createdMillis != b.createdMillis {
			return cmp.Compare(a.createdMillis, b.createdMillis)
		}
		return cmp.Compare(a.key, b.key)
	})
}
