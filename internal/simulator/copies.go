package simulator

// copies keeps copies of messages that were sent, to be delivered once more.
type copies[Message any] struct{ kept []Message }

// keep keeps a copy of a message, unless there are already limit copies.
func (c *copies[Message]) keep(message Message, limit int) {
	if len(c.kept) < limit {
		c.kept = append(c.kept, message)
	}
}

// deliver calls receive with each copy, and forgets them.
func (c *copies[Message]) deliver(receive func(Message)) {
	kept := c.kept
	c.kept = nil
	for _, message := range kept {
		receive(message)
	}
}
