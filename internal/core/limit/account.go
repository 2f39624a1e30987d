package limit

import (
	"cmp"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Kind is the kind of thing that an account limits.
type Kind uint8

const (
	// KindTeam limits what a team has running in the whole fleet.
	KindTeam Kind = 1
	// KindVM limits what all entry nodes together have running on a VM.
	KindVM Kind = 2
	// KindPool stands for any VMs of a pool, in demands and loan requests. It
	// has no total of its own.
	KindPool Kind = 3
)

// Account identifies a limit with a total over the whole fleet. Its field names
// appear in the JSON of a Dump.
type Account struct {
	Kind Kind
	// Name is a vocab.TeamID, vocab.VMID or vocab.PoolID, depending on Kind.
	Name string
}

// TeamAccount returns the account of a team's upper limit.
func TeamAccount(team vocab.TeamID) Account {
	return Account{Kind: KindTeam, Name: string(team)}
}

// VMAccount returns the account of a VM's slots.
func VMAccount(vm vocab.VMID) Account {
	return Account{Kind: KindVM, Name: string(vm)}
}

// PoolAccount returns the account that stands for the slots of any VMs of a
// pool.
func PoolAccount(pool vocab.PoolID) Account {
	return Account{Kind: KindPool, Name: string(pool)}
}

// Compare orders accounts by kind, then by name.
func (a Account) Compare(b Account) int {
	if c := cmp.Compare(a.Kind, b.Kind); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}

// Total is the number of slots of one account that may be in use over the whole
// fleet. It must depend on nothing but the log up to an offset.
type Total struct {
	Account Account
	// Pool is the pool of a VM's account; empty for a team.
	Pool  vocab.PoolID
	Slots vocab.Slots
}

// Removal describes how a membership ended.
type Removal uint8

const (
	// RemovalNone marks a present member.
	RemovalNone Removal = iota
	// RemovalLeft marks a member that left with nothing in use and no loans
	// granted.
	RemovalLeft
	// RemovalLost marks a member whose process has certainly ended while its
	// requests may still run upstream.
	RemovalLost
)

// Member is one incarnation of an entry process, as folded from the log.
type Member struct {
	Incarnation vocab.Incarnation
	Removal     Removal
	// RemovedAt is the offset of the removal; 0 for a present member.
	RemovedAt vocab.Offset
}
