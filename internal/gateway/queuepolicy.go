package gateway

import "github.com/toucanwell/toucanwell/internal/gateway/queue"

// policy returns the policy of the queue; nil if the queue is off.
func (q *QueueSettings) policy() *queue.Policy {
	if !q.Enabled {
		return nil
	}
	p := &queue.Policy{MaxRequests: q.MaxRequests, MaxBytes: q.MaxMB << 20, Workspaces: make(map[string]queue.Share, len(q.Workspaces))}
	for _, w := range q.Workspaces {
		p.Workspaces[w.Name] = queue.Share{Weight: w.Weight, Floor: w.Floor}
	}
	return p
}

// applyContracts turns on the features that the contracts in force call for.
func (s *Settings) applyContracts(p Platform) {
	s.Queue.Enabled = !s.Queue.Disabled && (s.Queue.Enabled || p.BoundsTargetMemory(s.Contracts))
}
