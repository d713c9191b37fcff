package retry

// MaxChainRetries is the largest number of extra attempts that a call may cause along its whole chain.
const MaxChainRetries = 3

// ChainBudget is the share of a chain's extra attempts that one call at one node may use. What the node keeps and what
// it forwards to the next node never exceed what it received, so the extra attempts along a chain of any depth stay
// within the number at the entry. If each level could use the whole number k, a chain of n levels could make up to
// C(n+k, k) attempts.
type ChainBudget struct {
	remaining int
	// allocated is the number of extra attempts that the last attempt forwarded to the next node.
	allocated int
}

// NewChainBudget returns the budget for a call. The argument is the value of the received header
// Bamboodeal-Retries-Left, or MaxChainRetries for a call that enters the mesh here.
func NewChainBudget(left int) ChainBudget {
	return ChainBudget{remaining: max(0, min(left, MaxChainRetries))}
}

// AllocateForwarded returns the value of the header Bamboodeal-Retries-Left for the next attempt. One extra attempt is
// kept for this node; the forwarded rest counts as used unless ReclaimForwarded is called.
func (c *ChainBudget) AllocateForwarded() int {
	c.allocated = max(0, c.remaining-1)
	c.remaining -= c.allocated
	return c.allocated
}

// ReclaimForwarded takes back what the last attempt forwarded. It may be called only if that attempt certainly did not
// run.
func (c *ChainBudget) ReclaimForwarded() {
	c.remaining += c.allocated
	c.allocated = 0
}

// Withdraw takes one extra attempt for this node and reports whether there was one.
func (c *ChainBudget) Withdraw() bool {
	if c.remaining == 0 {
		return false
	}
	c.remaining--
	return true
}

// Remaining returns the number of extra attempts that this node may still use.
func (c *ChainBudget) Remaining() int { return c.remaining }
