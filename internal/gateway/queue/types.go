package queue

import "time"

// Item is a request that needs a target.
type Item struct {
	// ID is unique among the items of a queue. RequestID is the caller's ID, for logs.
	ID        uint64
	RequestID string
	// Key identifies the request across the retries of its caller; zero if unknown.
	Key       uint64
	Service   string
	Workspace string
	// Urgency ranks requests, 0 first. It is below Urgencies.
	Urgency int
	// Cost is the number of prompt tokens; 1 for requests without a prompt.
	Cost float64
	// Bytes is the size of the body that is held while the request waits.
	Bytes int
	// Arrived is when the request arrived. FirstArrival is when its caller first sent it; it differs
	// from Arrived only if Returned is set.
	Arrived, FirstArrival time.Time
	// Objective is when the route's latency objective ends; zero if it has none. Deadline is when the
	// caller gives up.
	Objective, Deadline time.Time
	// FirstEvent is the expected time from the placement to the response that the objective is about,
	// ExpectedRun to the end of the response.
	FirstEvent, ExpectedRun time.Duration
	// Returned is set if the caller was refused before and comes back at the time it was told. For
	// callers that this queue refused, the queue decides it by Key.
	Returned bool
	// Restricted is set if fewer targets than usual may run the request. If no target takes it, that
	// says nothing about other requests.
	Restricted bool
	// Probed is set if a placement attempt probes sidecars. Attempts of the service are then limited
	// to one per probe interval.
	Probed bool
}

// Share is what a workspace gets while requests wait.
type Share struct {
	// Weight is its share relative to the weights of others; zero counts as 1.
	Weight float64
	// Floor is the least share of the placed cost of a service that it gets, whatever others send.
	Floor float64
}

// Policy holds the limits of a queue and the shares of workspaces.
type Policy struct {
	// MaxRequests and MaxBytes bound the requests that wait and the sum of their bodies. Zero counts
	// as the default.
	MaxRequests int
	MaxBytes    int64
	// Workspaces holds the shares that differ from weight 1 and no floor.
	Workspaces map[string]Share
}

// Action is what is to happen with an item.
type Action uint8

// The actions.
const (
	// Try means that the item may attempt placement now.
	Try Action = iota
	// Wait means that the item waits for its turn.
	Wait
	// Refuse means that the item is refused and has left the queue.
	Refuse
)

// Reason is why an item is refused.
type Reason string

// The reasons.
const (
	// Full means that the queue has reached a bound and the item is the last in order.
	Full Reason = "full"
	// TooLate means that the forecast or the time says that the item cannot be served in time.
	TooLate Reason = "too_late"
	// NoForecast means that the item has waited as long as it may while nothing is known about when
	// it would be placed.
	NoForecast Reason = "no_forecast"
	// Stopping means that the process stops.
	Stopping Reason = "stopping"
)

// Refusal is the refusal of an item. The request has not been sent by this queue's leave.
type Refusal struct {
	Item   Item
	Reason Reason
	// RetryAfter is when the caller is to come back.
	RetryAfter time.Duration
	// Forecast is the expected wait on which the refusal is based; negative if unknown.
	Forecast time.Duration
	// Waited is how long the item waited.
	Waited time.Duration
}

// Unknown is the forecast while too few placements have been observed.
const Unknown = time.Duration(-1)

// Decision is what happens with an item that was added or could not be placed.
type Decision struct {
	Action Action
	// Position is the item's approximate place in order, from 1; Ahead is the cost ahead of it.
	Position int
	Ahead    float64
	// Forecast is the expected wait, or Unknown.
	Forecast time.Duration
	// Tag is the virtual start time of the item's workspace.
	Tag float64
	// Refusal is set if Action is Refuse.
	Refusal Refusal
	// Evicted are items that are refused in favor of this one.
	Evicted []Refusal
}

// Placement describes the placement of an item.
type Placement struct {
	Item Item
	// Waited is how long the item waited in the queue; zero if it was placed at once.
	Waited time.Duration
	// Queued is set if the item waited. Before is the number of requests of its service that were
	// placed while it waited.
	Queued bool
	Before int
}

// Observer is told about decisions, for log lines and metrics. Its methods are called without a lock
// and must not block.
type Observer interface {
	// Queued reports that an item begins to wait.
	Queued(it Item, d Decision)
	// Placed reports a placement, also of an item that did not wait.
	Placed(p Placement)
	// Refused reports a refusal.
	Refused(r Refusal)
	// Left reports that an item left without a placement or a refusal by the queue: its caller
	// disconnected, or the request ended for another reason.
	Left(it Item, waited time.Duration)
}

// Stats is a snapshot of a queue. Services and workspaces are sorted by name.
type Stats struct {
	Policy   Policy
	Services []ServiceStats
}

// ServiceStats describes the queue of a service.
type ServiceStats struct {
	Service string
	// Waiting is the number of requests that wait, Bytes the size of their bodies.
	Waiting int
	Bytes   int64
	// Rate is the cost placed per second while requests waited; zero if unknown.
	Rate       float64
	Workspaces []WorkspaceStats
}

// WorkspaceStats describes the part of a workspace in the queue of a service.
type WorkspaceStats struct {
	Workspace string
	Waiting   int
	// Placed and Refused count since the start of the process.
	Placed, Refused uint64
	// Share is the workspace's share of the cost that was recently placed while requests waited.
	Share         float64
	Weight, Floor float64
	// LongestWait is the wait of the request that has waited longest.
	LongestWait time.Duration
}
