package console

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/process/distribution"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/internal/version/key"
)

// maxEditAttempts limits how often an edit is tried, each time on a newer version, while
// other operators' changes are published first.
const maxEditAttempts = 8

func (c *Console) keys(ctx context.Context, a KeysArguments) (Result, error) {
	switch {
	case a.Give != nil:
		return c.giveKey(ctx, *a.Give)
	case a.Withdraw != nil:
		return c.withdrawKey(ctx, *a.Withdraw)
	case a.List != nil:
		return c.listKeys(ctx)
	default:
		return nil, fmt.Errorf("keys needs give, withdraw or list: %w", errBadInput)
	}
}

// GiveResult is a new key with its secret, which is shown only here.
type GiveResult struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Key     string `json:"key"`
	ApplyResult
}

// WriteText writes the key and the progress of the change.
func (g GiveResult) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "key %s of client account %s, shown only now:\n%s\n", g.ID, g.Account, g.Key)
	return g.ApplyResult.WriteText(w)
}

func (c *Console) giveKey(ctx context.Context, a GiveArguments) (Result, error) {
	secret, err := key.Generate()
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	k := key.Key{ID: a.ID, Account: a.Account, Hash: key.HashOf(secret)}
	head, zones, err := c.edit(ctx, a.Wait, func(content []byte) ([]byte, error) {
		return configuration.AddKey("configuration", content, k)
	})
	if err != nil {
		return nil, err
	}
	applied, err := c.rollout(ctx, ApplyResult{Version: head.Version, expectedZones: zones}, a.Wait)
	return GiveResult{ID: a.ID, Account: a.Account, Key: secret, ApplyResult: applied}, err
}

func (c *Console) withdrawKey(ctx context.Context, a WithdrawArguments) (Result, error) {
	head, zones, err := c.edit(ctx, a.Wait, func(content []byte) ([]byte, error) {
		return configuration.RemoveKey("configuration", content, a.ID)
	})
	if err != nil {
		return nil, err
	}
	return c.rollout(ctx, ApplyResult{Version: head.Version, expectedZones: zones}, a.Wait)
}

// edit applies change to the content of the published configuration and publishes the
// result. If another change is published first, it retries on the newer version. It
// also returns the availability zones of the configuration.
func (c *Console) edit(ctx context.Context, wait time.Duration, change func([]byte) ([]byte, error)) (distribution.Head, []string, error) {
	var conflict *distribution.ConflictError
	for attempt := 1; ; attempt++ {
		head, content, err := c.published(ctx)
		if err != nil {
			return distribution.Head{}, nil, err
		}
		edited, err := change(content)
		if err != nil {
			return distribution.Head{}, nil, fmt.Errorf("edit version %d: %w", head.Version, err)
		}
		zones, err := configuredZones(edited)
		if err != nil {
			return distribution.Head{}, nil, err
		}
		head, err = c.publish(ctx, head.Version, edited, wait)
		if err == nil || attempt == maxEditAttempts || !errors.As(err, &conflict) {
			return head, zones, err
		}
	}
}

// published returns the newest configuration on the platform.
func (c *Console) published(ctx context.Context) (distribution.Head, []byte, error) {
	head, err := c.registry.Head(ctx)
	if err != nil {
		return distribution.Head{}, nil, fmt.Errorf("look up the version in force: %w", err)
	}
	if head.Version == 0 {
		return distribution.Head{}, nil, fmt.Errorf("no configuration has been applied yet: %w", errBadInput)
	}
	content, err := c.registry.Content(ctx, head)
	if err != nil {
		return distribution.Head{}, nil, fmt.Errorf("read the version in force: %w", err)
	}
	return head, content, nil
}

// KeyList lists the keys of the configuration in force.
type KeyList struct {
	Version uint64      `json:"version"`
	Keys    []ListedKey `json:"keys"`
}

// A ListedKey is one key without its secret.
type ListedKey struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Hash    string `json:"hash"`
}

func (c *Console) listKeys(ctx context.Context) (Result, error) {
	s, _, err := c.current(ctx)
	if err != nil {
		return nil, err
	}
	list := KeyList{Version: s.Version()}
	for _, k := range s.Keys() {
		list.Keys = append(list.Keys, ListedKey{ID: k.ID, Account: k.Account, Hash: k.Hash.String()})
	}
	return list, nil
}

// WriteText writes one line for each key.
func (l KeyList) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "KEY\tCLIENT ACCOUNT\tHASH")
	const hashDigits = 12
	for _, k := range l.Keys {
		fmt.Fprintf(table, "%s\t%s\t%s...\n", k.ID, k.Account, k.Hash[:hashDigits])
	}
	return table.Flush()
}
