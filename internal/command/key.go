package command

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/publish"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Key holds the subcommands that manage teams' keys.
type Key struct {
	Give     KeyGive     `command:"give" description:"Give a team a new key; the key is shown only once"`
	Withdraw KeyWithdraw `command:"withdraw" description:"Withdraw a key permanently"`
	List     KeyList     `command:"list" description:"List the keys, without their secrets"`
}

// KeyGive gives a team a new key.
type KeyGive struct {
	OperatorOptions
	Team string `long:"team" required:"yes" value-name:"TEAM" description:"team that the key authenticates"`
}

// keyResult is the JSON output of KeyGive.
type keyResult struct {
	ID   vocab.KeyID `json:"id"`
	Team string      `json:"team"`
	Key  string      `json:"key"`
}

// Execute implements flags.Commander.
func (k *KeyGive) Execute([]string) error {
	return k.withClient(func(ctx context.Context, client *publish.Client) error {
		key, err := client.GiveKey(ctx, vocab.TeamID(k.Team))
		if errors.Is(err, publish.ErrUnknown) {
			return errors.Wrapf(err, "it is unknown whether the key was created, and it is not shown; withdraw it later: key withdraw --unknown %s", key.ID)
		}
		if err != nil {
			return err
		}
		return k.print(keyResult{ID: key.ID, Team: k.Team, Key: key.Text()}, []string{key.Text()})
	})
}

// KeyWithdraw withdraws a key.
type KeyWithdraw struct {
	OperatorOptions
	Unknown bool     `long:"unknown" description:"withdraw the ID even if no key with it is known"`
	Node    []string `long:"node" value-name:"URL" description:"operators' address of an entry node that withdraws the key at once, even while the log is down; may be repeated"`
	Args    struct {
		ID string `positional-arg-name:"ID" required:"yes" description:"the part of the key between its two underscores"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (k *KeyWithdraw) Execute([]string) error {
	withdrawnAt := k.withdrawAtNodes()
	return k.withClient(func(ctx context.Context, client *publish.Client) error {
		id := vocab.KeyID(k.Args.ID)
		err := client.WithdrawKey(ctx, id, k.Unknown)
		if err != nil && withdrawnAt > 0 {
			return errors.Wrapf(err, "%d entry nodes withdrew the key and will append the withdrawal once the log is available; withdrawing on the log itself", withdrawnAt)
		}
		if err != nil {
			return err
		}
		return k.print(map[string]vocab.KeyID{"withdrawn": id}, []string{"withdrawn: " + k.Args.ID})
	})
}

// withdrawAtNodes withdraws the key at the nodes of --node and returns how many
// confirmed it. A node sends the withdrawal to the other nodes and appends it
// once the log is available.
func (k *KeyWithdraw) withdrawAtNodes() int {
	withdrawnAt := 0
	for _, node := range k.Node {
		if err := postToNode(node, "/keys/"+url.PathEscape(k.Args.ID)+"/withdraw"); err != nil {
			fmt.Fprintln(os.Stderr, "sardinehead:", err)
			continue
		}
		withdrawnAt++
	}
	return withdrawnAt
}

// KeyList lists the keys.
type KeyList struct {
	OperatorOptions
}

// keyRow is one key in the JSON output of KeyList.
type keyRow struct {
	ID              vocab.KeyID  `json:"id"`
	Team            vocab.TeamID `json:"team"`
	Withdrawn       bool         `json:"withdrawn"`
	GivenOffset     vocab.Offset `json:"given"`
	WithdrawnOffset vocab.Offset `json:"ended,omitempty"`
}

// Execute implements flags.Commander.
func (k *KeyList) Execute([]string) error {
	return k.withClient(func(ctx context.Context, client *publish.Client) error {
		keys, err := client.ListKeys(ctx)
		if err != nil {
			return err
		}
		rows := make([]keyRow, len(keys))
		for i, key := range keys {
			rows[i] = newKeyRow(key)
		}
		if k.Format == "json" {
			return k.print(rows, nil)
		}
		return k.printTable(rows)
	})
}

// newKeyRow returns the row of a key, without the hash of its secret.
func newKeyRow(key shared.Key) keyRow {
	return keyRow{ID: key.ID, Team: key.Team, Withdrawn: key.Withdrawn, GivenOffset: key.GivenOffset, WithdrawnOffset: key.WithdrawnOffset}
}

func (k *KeyList) printTable(rows []keyRow) error {
	w := tabwriter.NewWriter(k.writer(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ID\tTEAM\tSTATE")
	for _, row := range rows {
		state := "active"
		if row.Withdrawn {
			state = "withdrawn"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", row.ID, row.Team, state)
	}
	return w.Flush()
}
