package publish

import (
	"cmp"
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/credential"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/strictjson"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// GiveKey gives a team a new key. The key's text can be had from the result
// only. On ErrUnknown the result still names the ID, to be withdrawn.
func (c *Client) GiveKey(ctx context.Context, team vocab.TeamID) (credential.Key, error) {
	state, err := c.read(ctx)
	if err != nil {
		return credential.Key{}, err
	}
	if err := checkTeam(state, team); err != nil {
		return credential.Key{}, err
	}
	key := credential.New()
	f := fold{client: c, state: state}
	given := record.KeyGiven{Key: key.ID, Team: team, SecretHash: key.Hash(), Operator: c.Operator}
	if _, err := f.append(ctx, given); err != nil {
		return credential.Key{ID: key.ID}, err
	}
	recorded, ok := f.state.ActiveKey(key.ID)
	if !ok || !key.Matches(recorded.SecretHash) {
		return credential.Key{ID: key.ID}, errors.Wrapf(ErrWithdrawn, "key %s", key.ID)
	}
	return key, nil
}

func checkTeam(state *shared.State, team vocab.TeamID) error {
	fleet := inForce(state)
	if _, ok := fleet.Team(team); ok {
		return nil
	}
	names := make([]string, len(fleet.Teams))
	for i, t := range fleet.Teams {
		names[i] = string(t.Name)
	}
	return errors.Mark(errors.Newf("there is no team %q; write %s", team, strictjson.OneOf(string(team), names)), ErrNoTeam)
}

// WithdrawKey ends a key for good. A key that the stream does not know fails
// with ErrNoKey, unless unknown is set: then the ID can never come into use.
// Withdrawing a key again changes nothing.
func (c *Client) WithdrawKey(ctx context.Context, id vocab.KeyID, unknown bool) error {
	state, err := c.read(ctx)
	if err != nil {
		return err
	}
	key, known := state.Keys[id]
	if !known && !unknown {
		proposal := strictjson.OneOf(string(id), activeIDs(state))
		return errors.Mark(errors.Newf("there is no key %q; write %s", id, proposal), ErrNoKey)
	}
	if key.Withdrawn {
		return nil
	}
	f := fold{client: c, state: state}
	_, err = f.append(ctx, record.KeyWithdrawn{Key: id, Operator: c.Operator})
	return err
}

// ListKeys returns all keys ever given or withdrawn, in the order of their
// first record.
func (c *Client) ListKeys(ctx context.Context) ([]shared.Key, error) {
	state, err := c.read(ctx)
	if err != nil {
		return nil, err
	}
	keys := make([]shared.Key, 0, len(state.Keys))
	for _, key := range state.Keys {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b shared.Key) int {
		return cmp.Or(cmp.Compare(firstOffset(a), firstOffset(b)), cmp.Compare(a.ID, b.ID))
	})
	return keys, nil
}

func firstOffset(key shared.Key) vocab.Offset {
	if key.GivenOffset == 0 {
		return key.WithdrawnOffset
	}
	return key.GivenOffset
}

func activeIDs(state *shared.State) []string {
	var ids []string
	for id := range state.Keys {
		if _, active := state.ActiveKey(id); active {
			ids = append(ids, string(id))
		}
	}
	slices.Sort(ids)
	return ids
}
