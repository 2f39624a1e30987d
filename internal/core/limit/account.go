package limit

import (
	"cmp"

	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Kind tells what an account counts.
type Kind uint8

const (
	// KindTeam counts what a team has running in the whole fleet.
	KindTeam Kind = 1
	// KindVM counts what a VM has running for all entry nodes.
	KindVM Kind = 2
)

// Account names something whose use over the whole fleet has a total.
type Account struct {
	Kind Kind
	// Name is a vocab.TeamID or a vocab.VMID, by Kind.
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

// Compare orders accounts by kind, then by name.
func (a Account) Compare(b Account) int {
	if c := cmp.Compare(a.Kind, b.Kind); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}

// Total is the most that may be in use of one account over the whole fleet. It
// must be a function of the log up to an offset and of nothing else.
type Total struct {
	Account Account
	// Pool is the pool of a VM's account; empty for a team.
	Pool  vocab.PoolID
	Slots vocab.Slots
}

// Removal tells how a membership ended.
type Removal uint8

const (
	// RemovalNone marks a present member.
	RemovalNone Removal = iota
	// RemovalLeft marks a member that left with nothing in use and no loans out.
	RemovalLeft
	// RemovalLost marks a member whose process has certainly ended while its
	// requests may still run upstream.
	RemovalLost
)

// Member is one start of an entry process, as folded from the log.
type Member struct {
	Incarnation vocab.Incarnation
	Removal     Removal
	// RemovedAt is the offset of the removal; 0 for a present member.
	RemovedAt vocab.Offset
}
