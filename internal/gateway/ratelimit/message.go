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

func encodeRequest(r LeaseRequest, fallback bool) *peerv1.RateAsk {
	return &peerv1.RateAsk{
		Need: encodeTokens(r.RequestCost), Want: encodeTokens(r.Ahead), Spent: encodeTokens(r.Spent), Returned: encodeTokens(r.Refunded), Extra: encodeTokens(r.Overdraft),
		ComesBack: r.IsRetry, PatienceMs: encodeMs(r.MaxWait), InPlace: fallback,
	}
}

func decodeRequest(id uint32, m *peerv1.RateAsk) LeaseRequest {
	return LeaseRequest{
		ID: id, RequestCost: decodeTokens(m.Need), Ahead: decodeTokens(m.Want), Spent: decodeTokens(m.Spent), Refunded: decodeTokens(m.Returned), Overdraft: decodeTokens(m.Extra),
		IsRetry: m.ComesBack, MaxWait: decodeMs(m.PatienceMs),
	}
}

func encodeResponse(r LeaseResponse) *peerv1.RateAnswer {
	return &peerv1.RateAnswer{Admitted: r.Admitted, Leased: encodeTokens(r.Leased), WaitMs: encodeMs(r.RetryDelay), Level: encodeTokens(r.Level)}
}

func decodeResponse(id uint32, m *peerv1.RateAnswer) LeaseResponse {
	return LeaseResponse{ID: id, Admitted: m.Admitted, Leased: decodeTokens(m.Leased), RetryDelay: decodeMs(m.WaitMs), Level: decodeTokens(m.Level)}
}
