package gateway

import (
	"github.com/toucanwell/toucanwell/api/admin/oas"
	"github.com/toucanwell/toucanwell/internal/gateway/queue"
)

// encodeQueue returns the queue in the form of the administration API.
func encodeQueue(s queue.Stats, enabled bool) *oas.Queue {
	q := &oas.Queue{Enabled: enabled, MaxRequests: s.Policy.MaxRequests, MaxBytes: s.Policy.MaxBytes, Services: []oas.QueueService{}}
	for _, service := range s.Services {
		row := oas.QueueService{Service: service.Service, Waiting: service.Waiting, Bytes: service.Bytes, CostPerSecond: service.Rate, Workspaces: []oas.QueueWorkspace{}}
		for _, w := range service.Workspaces {
			row.Workspaces = append(row.Workspaces, oas.QueueWorkspace{
				Workspace: w.Workspace, Waiting: w.Waiting, Placed: int64(w.Placed), Refused: int64(w.Refused),
				Share: w.Share, Weight: w.Weight, Floor: w.Floor, LongestWaitMs: w.LongestWait.Milliseconds(),
			})
		}
		q.Services = append(q.Services, row)
	}
	return q
}
