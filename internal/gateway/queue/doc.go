// Package queue orders the requests of an entry that wait for a target.
//
// It is pure: events go in with the current time, decisions come out. It has no clock, network or
// goroutines, and is not safe for concurrent use.
//
// # Order
//
// Each service has its own queue. Requests are ordered by
//
//  1. the floors of workspaces: a workspace that has received less than its floor of the cost placed
//     since it began to wait precedes all others, whatever their urgency;
//  2. urgency, 0 first;
//  3. workspaces by start-time fair queueing: each workspace has a start tag that grows by cost divided by
//     weight with each placement, and the lowest tag is next. A workspace that begins to wait starts
//     at the tag of the last placement at least, so that unused shares are not saved up;
//  4. within a workspace, callers that return at the time they were told, by first arrival; then
//     requests that can still meet their objective, by the latest placement that meets it; then the
//     others, by arrival.
//
// A request that no waiting request precedes attempts placement at once. Requests that could not be
// placed wait for a turn. Turns are given one after the other: after a placement to the next in
// order, after a failed attempt to the next that needs less, at most [maxAttempts] per event. The next
// event gives the first in order another turn, and goes on after those that have failed.
package queue
