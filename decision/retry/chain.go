package retry

// MaxChainRetries is the number of extra attempts that a call may cause along its whole chain.
const MaxChainRetries = 3

// ChainBudget is the part of a chain's extra attempts that one call at one node may use. What the node keeps and
// what it forwards never exceed what it got, so the extra attempts along a path of any depth stay within the
// number at entry. Without the split, n levels that each retry k times make up to C(n+k, k) attempts.
type ChainBudget struct {
	left      int
	forwarded int
}

// NewChainBudget takes the received Bamboodeal-Retries-Left, or EntryRetries at the entry of a public call.
func NewChainBudget(left int) ChainBudget {
	return ChainBudget{left: max(0, min(left, MaxChainRetries))}
}

// AllocateForwarded returns the Bamboodeal-Retries-Left of the next attempt. One is held back for this node's own extra
// attempt; the rest counts as spent until Reclaim.
func (c *ChainBudget) AllocateForwarded() int {
	c.forwarded = max(0, c.left-1)
	c.left -= c.forwarded
	return c.forwarded
}

// ReclaimForwarded returns what the last attempt forwarded; it is allowed only when that attempt was certainly not run.
func (c *ChainBudget) ReclaimForwarded() {
	c.left += c.forwarded
	c.forwarded = 0
}

// Withdraw takes one extra attempt and reports whether there was one.
func (c *ChainBudget) Withdraw() bool {
	if c.left == 0 {
		return false
	}
	c.left--
	return true
}

// Remaining returns what this node may still use.
func (c *ChainBudget) Remaining() int { return c.left }
