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

// editAttempts is how often an edit is made again on a newer version, when other
// operators' changes come first.
const editAttempts = 8

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

// Given is a new key. Its secret is shown here and nowhere else.
type Given struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Key     string `json:"key"`
	Applied
}

// WriteText writes the key and where it works.
func (g Given) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "key %s of client account %s, shown only now:\n%s\n", g.ID, g.Account, g.Key)
	return g.Applied.WriteText(w)
}

func (c *Console) giveKey(ctx context.Context, a GiveArguments) (Result, error) {
	secret, err := key.Generate()
	if err != nil {
		return nil, fmt.Errorf("make key: %w", err)
	}
	k := key.Key{ID: a.ID, Account: a.Account, Hash: key.HashOf(secret)}
	head, zones, err := c.edit(ctx, a.Wait, func(content []byte) ([]byte, error) {
		return configuration.AddKey("configuration", content, k)
	})
	if err != nil {
		return nil, err
	}
	applied, err := c.rollout(ctx, Applied{Version: head.Version, expected: zones}, a.Wait)
	return Given{ID: a.ID, Account: a.Account, Key: secret, Applied: applied}, err
}

func (c *Console) withdrawKey(ctx context.Context, a WithdrawArguments) (Result, error) {
	head, zones, err := c.edit(ctx, a.Wait, func(content []byte) ([]byte, error) {
		return configuration.RemoveKey("configuration", content, a.ID)
	})
	if err != nil {
		return nil, err
	}
	return c.rollout(ctx, Applied{Version: head.Version, expected: zones}, a.Wait)
}

// edit changes the configuration in force by a function of its content. Where
// another change comes first, the edit is made again on top of it. The result
// names the zones of the configuration too.
func (c *Console) edit(ctx context.Context, wait time.Duration, change func([]byte) ([]byte, error)) (distribution.Head, []string, error) {
	var conflict *distribution.ConflictError
	for attempt := 1; ; attempt++ {
		head, content, err := c.inForce(ctx)
		if err != nil {
			return distribution.Head{}, nil, err
		}
		edited, err := change(content)
		if err != nil {
			return distribution.Head{}, nil, fmt.Errorf("edit version %d: %w", head.Version, err)
		}
		zones, err := zonesOf(edited)
		if err != nil {
			return distribution.Head{}, nil, err
		}
		head, err = c.publish(ctx, head.Version, edited, wait)
		if err == nil || attempt == editAttempts || !errors.As(err, &conflict) {
			return head, zones, err
		}
	}
}

// inForce returns the configuration that the platform names.
func (c *Console) inForce(ctx context.Context) (distribution.Head, []byte, error) {
	head, err := c.registry.Head(ctx)
	if err != nil {
		return distribution.Head{}, nil, fmt.Errorf("find the version in force: %w", err)
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

// KeyList lists the keys in force.
type KeyList struct {
	Version uint64      `json:"version"`
	Keys    []KeyOfList `json:"keys"`
}

// A KeyOfList is one key, without its secret.
type KeyOfList struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Hash    string `json:"hash"`
}

func (c *Console) listKeys(ctx context.Context) (Result, error) {
	s, _, err := c.shown(ctx)
	if err != nil {
		return nil, err
	}
	list := KeyList{Version: s.Version()}
	for _, k := range s.Keys() {
		list.Keys = append(list.Keys, KeyOfList{ID: k.ID, Account: k.Account, Hash: k.Hash.String()})
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
