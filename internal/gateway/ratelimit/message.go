package ratelimit

import (
	"math"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

// maxDatagramSize bounds the size of a message, so that it fits into one Ethernet frame.
const maxDatagramSize = 1400

// maxTokens bounds the amounts in a message; no request costs more.
const maxTokens = 1 << 40

func encodeTokens(tokens float64) uint64 {
	return uint64(math.Min(math.Max(tokens, 0), maxTokens))
}

func decodeTokens(tokens uint64) float64 { return float64(min(tokens, maxTokens)) }

func encodeMs(d time.Duration) uint32 {
	return uint32(min(max(d, 0), maxRetryDelay) / time.Millisecond)
}

func decodeMs(ms uint32) time.Duration {
	return min(time.Duration(ms)*time.Millisecond, maxRetryDelay)
}

// maxStatedLimit bounds the limits that targets state, in requests per second. Higher ones restrict
// nothing.
const maxStatedLimit = 1e6

// maxStatementAge bounds the ages of statements in a message.
const maxStatementAge = time.Hour

// statementAgeUnit is the resolution of a statement's age. Rounding up makes up for the time that a
// message takes to arrive: an age never falls on its way.
const statementAgeUnit = 10 * time.Millisecond

// EncodeAge returns the age of a statement in a message, in milliseconds.
func EncodeAge(age time.Duration) uint32 {
	units := (min(max(age, 0), maxStatementAge) + statementAgeUnit - 1) / statementAgeUnit
	return uint32(units * statementAgeUnit / time.Millisecond)
}

// DecodeAge returns the age of a statement.
func DecodeAge(ms uint32) time.Duration {
	return min(time.Duration(ms)*time.Millisecond, maxStatementAge)
}

// EncodeStatedLimit returns the message of a target's stated limit.
func EncodeStatedLimit(s StatedLimit) *peerv1.StatedLimit {
	return &peerv1.StatedLimit{MilliPerSecond: uint64(math.Min(s.PerSecond, maxStatedLimit) * 1000), AgeMs: EncodeAge(s.Age)}
}

// DecodeStatedLimit returns the stated limit of a message.
func DecodeStatedLimit(m *peerv1.StatedLimit) StatedLimit {
	return StatedLimit{PerSecond: math.Min(float64(m.MilliPerSecond)/1000, maxStatedLimit), Age: DecodeAge(m.AgeMs)}
}

// maxFloor bounds the floor of a request, of which one permille is one unit of the message.
const maxFloor = 0.9

func encodeFloor(floor float64) uint32 { return uint32(math.Min(math.Max(floor, 0), maxFloor) * 1000) }

func decodeFloor(permille uint32) float64 { return math.Min(float64(permille)/1000, maxFloor) }

func encodeRequest(r LeaseRequest, fallback bool) *peerv1.RateAsk {
	return &peerv1.RateAsk{
		Need: encodeTokens(r.RequestCost), Want: encodeTokens(r.Ahead), Spent: encodeTokens(r.Spent), Returned: encodeTokens(r.Refunded), Extra: encodeTokens(r.Overdraft),
		ComesBack: r.IsRetry, PatienceMs: encodeMs(r.MaxWait), InPlace: fallback,
		FloorPermille: encodeFloor(r.Floor), Demand: encodeTokens(r.Demand), Queued: encodeTokens(r.Queued), Admitted: r.Admitted, Refused: r.Refused,
	}
}

func decodeRequest(id uint32, m *peerv1.RateAsk) LeaseRequest {
	return LeaseRequest{
		ID: id, RequestCost: decodeTokens(m.Need), Ahead: decodeTokens(m.Want), Spent: decodeTokens(m.Spent), Refunded: decodeTokens(m.Returned), Overdraft: decodeTokens(m.Extra),
		IsRetry: m.ComesBack, MaxWait: decodeMs(m.PatienceMs), Floor: decodeFloor(m.FloorPermille),
		Demand: decodeTokens(m.Demand), Queued: decodeTokens(m.Queued), Admitted: m.Admitted, Refused: m.Refused,
	}
}

func encodeResponse(r LeaseResponse) *peerv1.RateAnswer {
	return &peerv1.RateAnswer{Admitted: r.Admitted, Leased: encodeTokens(r.Leased), WaitMs: encodeMs(r.RetryDelay), Level: encodeTokens(r.Level), NextMs: encodeMs(r.NextDelay), Rate: encodeTokens(r.Rate)}
}

func decodeResponse(id uint32, m *peerv1.RateAnswer) LeaseResponse {
	return LeaseResponse{ID: id, Admitted: m.Admitted, Leased: decodeTokens(m.Leased), RetryDelay: decodeMs(m.WaitMs), Level: decodeTokens(m.Level), NextDelay: decodeMs(m.NextMs), Rate: decodeTokens(m.Rate)}
}
