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

// Key gives, withdraws and lists keys.
type Key struct {
	Give     KeyGive     `command:"give" description:"Give a team a new key; it is shown once"`
	Withdraw KeyWithdraw `command:"withdraw" description:"Withdraw a key for good"`
	List     KeyList     `command:"list" description:"List the keys, without their secrets"`
}

// KeyGive gives a team a new key.
type KeyGive struct {
	Operator
	Team string `long:"team" required:"yes" value-name:"TEAM" description:"team that the key stands for"`
}

// keyResult is the JSON output of KeyGive.
type keyResult struct {
	ID   vocab.KeyID `json:"id"`
	Team string      `json:"team"`
	Key  string      `json:"key"`
}

// Execute implements flags.Commander.
func (k *KeyGive) Execute([]string) error {
	return k.run(func(ctx context.Context, client *publish.Client) error {
		key, err := client.GiveKey(ctx, vocab.TeamID(k.Team))
		if errors.Is(err, publish.ErrUnknown) {
			return errors.Wrapf(err, "the key is not shown; withdraw it later: key withdraw --unknown %s", key.ID)
		}
		if err != nil {
			return err
		}
		return k.print(keyResult{ID: key.ID, Team: k.Team, Key: key.Text()}, []string{key.Text()})
	})
}

// KeyWithdraw withdraws a key.
type KeyWithdraw struct {
	Operator
	Unknown bool     `long:"unknown" description:"withdraw the ID even if no key of it is known"`
	Node    []string `long:"node" value-name:"URL" description:"operators' address of an entry node to tell at once, also while the log is down; may be given several times"`
	Args    struct {
		ID string `positional-arg-name:"ID" required:"yes" description:"the part of the key between the underscores"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (k *KeyWithdraw) Execute([]string) error {
	told := k.tellNodes()
	return k.run(func(ctx context.Context, client *publish.Client) error {
		id := vocab.KeyID(k.Args.ID)
		err := client.WithdrawKey(ctx, id, k.Unknown)
		if err != nil && told > 0 {
			return errors.Wrapf(err, "%d entry nodes have withdrawn the key and append it when the log answers; the log itself", told)
		}
		if err != nil {
			return err
		}
		return k.print(map[string]vocab.KeyID{"withdrawn": id}, []string{"withdrawn: " + k.Args.ID})
	})
}

// tellNodes withdraws the key at the named nodes and returns how many took it.
// A node spreads the withdrawal and appends it when the log answers.
func (k *KeyWithdraw) tellNodes() int {
	told := 0
	for _, node := range k.Node {
		if err := tell(node, "/keys/"+url.PathEscape(k.Args.ID)+"/withdraw"); err != nil {
			fmt.Fprintln(os.Stderr, "sardinehead:", err)
			continue
		}
		told++
	}
	return told
}

// KeyList lists the keys.
type KeyList struct {
	Operator
}

// keyRow is one key in the JSON output of KeyList.
type keyRow struct {
	ID        vocab.KeyID  `json:"id"`
	Team      vocab.TeamID `json:"team"`
	Withdrawn bool         `json:"withdrawn"`
	Given     vocab.Offset `json:"given"`
	Ended     vocab.Offset `json:"ended,omitempty"`
}

// Execute implements flags.Commander.
func (k *KeyList) Execute([]string) error {
	return k.run(func(ctx context.Context, client *publish.Client) error {
		keys, err := client.ListKeys(ctx)
		if err != nil {
			return err
		}
		rows := make([]keyRow, len(keys))
		for i, key := range keys {
			rows[i] = rowOf(key)
		}
		if k.Format == "json" {
			return k.print(rows, nil)
		}
		return k.table(rows)
	})
}

// rowOf leaves out the hash of the secret.
func rowOf(key shared.Key) keyRow {
	return keyRow{ID: key.ID, Team: key.Team, Withdrawn: key.Withdrawn, Given: key.GivenOffset, Ended: key.WithdrawnOffset}
}

func (k *KeyList) table(rows []keyRow) error {
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
