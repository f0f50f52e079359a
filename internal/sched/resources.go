package sched

// Resources is an amount of what a machine has or a task needs.
type Resources struct{ CPUs, GPUs, MemGB float64 }

// epsilon absorbs rounding: amounts are decimal fractions, and sums of them are not exact.
const epsilon = 1e-6

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPUs <= r.CPUs+epsilon && need.GPUs <= r.GPUs+epsilon && need.MemGB <= r.MemGB+epsilon
}

// Sub returns r less n.
func (r Resources) Sub(n Resources) Resources {
	return Resources{r.CPUs - n.CPUs, r.GPUs - n.GPUs, r.MemGB - n.MemGB}
}

// Add returns the sum of r and n.
func (r Resources) Add(n Resources) Resources {
	return Resources{r.CPUs + n.CPUs, r.GPUs + n.GPUs, r.MemGB + n.MemGB}
}

// Scale returns k times r.
func (r Resources) Scale(k float64) Resources { return Resources{r.CPUs * k, r.GPUs * k, r.MemGB * k} }

// ApproxEqual reports whether two amounts are equal except for rounding.
func (r Resources) ApproxEqual(o Resources) bool { return r.Fits(o) && o.Fits(r) }
