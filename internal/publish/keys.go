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

// GiveKey gives a team a new key. Only the result contains the key's secret. After
// ErrUnknown the result has just the ID, with which the key can be withdrawn.
func (c *Client) GiveKey(ctx context.Context, team vocab.TeamID) (credential.Key, error) {
	state, err := c.foldStream(ctx)
	if err != nil {
		return credential.Key{}, err
	}
	if err := requireTeam(state, team); err != nil {
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

// requireTeam fails with ErrNoTeam if the team is not part of the configuration in
// force.
func requireTeam(state *shared.State, team vocab.TeamID) error {
	fleet := fleetInForce(state)
	if _, ok := fleet.Team(team); ok {
		return nil
	}
	names := make([]string, len(fleet.Teams))
	for i, t := range fleet.Teams {
		names[i] = string(t.Name)
	}
	return errors.Mark(errors.Newf("there is no team %q; write %s", team, strictjson.Suggest(string(team), names)), ErrNoTeam)
}

// WithdrawKey withdraws a key permanently. For an ID that no record names it fails
// with ErrNoKey, unless allowUnknown is set: then no key with the ID can become
// active later. Withdrawing a key again changes nothing.
func (c *Client) WithdrawKey(ctx context.Context, id vocab.KeyID, allowUnknown bool) error {
	state, err := c.foldStream(ctx)
	if err != nil {
		return err
	}
	key, known := state.Keys[id]
	if !known && !allowUnknown {
		suggestion := strictjson.Suggest(string(id), activeKeyIDs(state))
		return errors.Mark(errors.Newf("there is no key %q; write %s", id, suggestion), ErrNoKey)
	}
	if key.Withdrawn {
		return nil
	}
	f := fold{client: c, state: state}
	_, err = f.append(ctx, record.KeyWithdrawn{Key: id, Operator: c.Operator})
	return err
}

// ListKeys returns all keys that were ever given or withdrawn, in the order of
// their first records.
func (c *Client) ListKeys(ctx context.Context) ([]shared.Key, error) {
	state, err := c.foldStream(ctx)
	if err != nil {
		return nil, err
	}
	keys := make([]shared.Key, 0, len(state.Keys))
	for _, key := range state.Keys {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b shared.Key) int {
		return cmp.Or(cmp.Compare(firstRecordOffset(a), firstRecordOffset(b)), cmp.Compare(a.ID, b.ID))
	})
	return keys, nil
}

// firstRecordOffset returns the offset of the first record about a key.
func firstRecordOffset(key shared.Key) vocab.Offset {
	if key.GivenOffset == 0 {
		return key.WithdrawnOffset
	}
	return key.GivenOffset
}

// activeKeyIDs returns the sorted IDs of the active keys.
func activeKeyIDs(state *shared.State) []string {
	var ids []string
	for id := range state.Keys {
		if _, active := state.ActiveKey(id); active {
			ids = append(ids, string(id))
		}
	}
	slices.Sort(ids)
	return ids
}
