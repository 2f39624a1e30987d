package retry

// Budget bounds retries as a part of first attempts, so that retries cannot
// multiply an overload. Being a ratio, it holds over the whole fleet if it
// holds on each node; only the saved-up part grows with the number of nodes.
type Budget struct {
	tokens float64
}

const (
	// retriesPerAttempt is the number of retries that one first attempt earns.
	retriesPerAttempt = 0.1
	// budgetCap is the most retries that can be saved up on one node.
	budgetCap = 20
)

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{tokens: budgetCap}
}

// Earn records a first attempt.
func (b *Budget) Earn() {
	b.tokens = min(b.tokens+retriesPerAttempt, budgetCap)
}

// Spend takes one retry from the budget, or returns false if none is left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
