package ratelimit

import (
	"math"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

// maxDatagram bounds a message; it fits into one packet of an Ethernet network.
const maxDatagram = 1400

// mostTokens bounds an amount that a message states: more is no cost of a request.
const mostTokens = 1 << 40

func tokensOut(tokens float64) uint64 {
	return uint64(math.Min(math.Max(tokens, 0), mostTokens))
}

func tokensIn(tokens uint64) float64 { return float64(min(tokens, mostTokens)) }

func msOut(d time.Duration) uint32 {
	return uint32(min(max(d, 0), longestWait) / time.Millisecond)
}

func msIn(ms uint32) time.Duration {
	return min(time.Duration(ms)*time.Millisecond, longestWait)
}

func askOut(a LeaseRequest, inPlace bool) *peerv1.RateAsk {
	return &peerv1.RateAsk{
		Need: tokensOut(a.RequestCost), Want: tokensOut(a.Ahead), Spent: tokensOut(a.Spent), Returned: tokensOut(a.Refunded), Extra: tokensOut(a.Overdraft),
		ComesBack: a.IsRetry, PatienceMs: msOut(a.MaxWait), InPlace: inPlace,
	}
}

func askIn(number uint32, m *peerv1.RateAsk) LeaseRequest {
	return LeaseRequest{
		ID: number, RequestCost: tokensIn(m.Need), Ahead: tokensIn(m.Want), Spent: tokensIn(m.Spent), Refunded: tokensIn(m.Returned), Overdraft: tokensIn(m.Extra),
		IsRetry: m.ComesBack, MaxWait: msIn(m.PatienceMs),
	}
}

func answerOut(a LeaseResponse) *peerv1.RateAnswer {
	return &peerv1.RateAnswer{Admitted: a.Admitted, Leased: tokensOut(a.Leased), WaitMs: msOut(a.RetryDelay), Level: tokensOut(a.Level)}
}

func answerIn(number uint32, m *peerv1.RateAnswer) LeaseResponse {
	return LeaseResponse{ID: number, Admitted: m.Admitted, Leased: tokensIn(m.Leased), RetryDelay: msIn(m.WaitMs), Level: tokensIn(m.Level)}
}
