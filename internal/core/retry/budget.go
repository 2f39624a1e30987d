package retry

// Budget bounds retries to a ratio of first attempts, so that retries cannot
// multiply an overload. A ratio that holds on each node also holds over the
// whole fleet; only the saved retries grow with the number of nodes.
type Budget struct {
	tokens float64
}

const (
	// retriesPerAttempt is the number of retries that one first attempt adds to
	// the budget.
	retriesPerAttempt = 0.1
	// maxSavedRetries is the largest number of unused retries that one node can
	// save.
	maxSavedRetries = 20
)

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{tokens: maxSavedRetries}
}

// Earn adds the retries that one first attempt allows.
func (b *Budget) Earn() {
	b.tokens = min(b.tokens+retriesPerAttempt, maxSavedRetries)
}

// Spend takes one retry from the budget, or returns false if the budget is used
// up.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
