package buffers

import "testing"

// Guards against responses that together take more than the budget, and against memory that is not given
// back.
func TestBudgetIsShared(t *testing.T) {
	b := NewBudget(4 * Step)
	first, second := b.NewShare(), b.NewShare()
	if !first.Grow(4 * Step) {
		t.Error("a response within the budget is refused")
	}
	if !second.Grow(2*Step) || second.Grow(2*Step+1) {
		t.Error("the second response gets other than what is left")
	}
	if !b.NewShare().Grow(Step) {
		t.Error("a small response depends on others")
	}
	first.Release()
	first.Release()
	if !second.Grow(5*Step) || second.Grow(5*Step+1) {
		t.Error("what was given back is not available, or more is")
	}
	if second.Shrink(2 * Step); !first.Fits(4*Step) || first.Fits(5*Step) || !first.Grow(4*Step) || first.Grow(5*Step) {
		t.Error("what a smaller buffer does not need is not available, or more is")
	}
	if unbounded := (*Budget)(nil).NewShare(); !unbounded.Grow(1 << 40) {
		t.Error("a missing budget has a bound")
	}
}
