package once

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/toucanwell/toucanwell/internal/errkind"
)

// Slots is the number of claim streams. A key belongs to one of them by its
// digest. The number is part of the stream format.
const Slots = 16

const (
	digestBytes = 16
	// ClockBound is how far two clocks of the system may stand apart.
	MaxClockSkew = 30 * time.Second
	// keepShare is the part of the log's retention for which a key is taken.
	// The rest covers the clock bound and the longest wait before a claim.
	keepShare = 0.75
)

// Key is an idempotency key as the system uses it.
type Key struct {
	// Digest names it in the log and tells nothing of the workspace.
	Digest string
	// Slot is its claim stream.
	Slot int
	// IssuedMs is when it was made; 0 when it tells none.
	IssuedMs int64
	// Request is the digest of the request it was first used for.
	RequestDigest uint64
}

// SlotKey is what the targets of a service are ranked by for a slot.
func SlotHash(service string, slot int) uint64 {
	return xxhash.Sum64String(StreamName(service, slot))
}

// NewKey returns the key of a workspace's call.
func NewKey(workspace, service, key string, issuedMs int64, request uint64) Key {
	sum := sha256.New()
	var size [8]byte
	for _, field := range []string{workspace, service, key} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(field)))
		sum.Write(size[:])
		sum.Write([]byte(field))
	}
	digest := sum.Sum(nil)
	return Key{
		Digest:        hex.EncodeToString(digest[:digestBytes]),
		Slot:          int(digest[digestBytes]) % Slots,
		IssuedMs:      issuedMs,
		RequestDigest: request,
	}
}

// IssueTime returns when a caller's key was made: what the caller says beside
// it, or else the time in a UUID of version 7. It returns 0 for another key.
func IssueTime(key string, stated int64) int64 {
	if stated > 0 {
		return stated
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0
	}
	var ms [8]byte
	copy(ms[2:], id[:6])
	return int64(binary.BigEndian.Uint64(ms[:]))
}

// Terms are what a service lets its keys be.
type KeyPolicy struct {
	// Opaque takes keys without an issue time.
	AllowOpaque bool
	// Lifetime is how long a key is taken; 0 means as long as the log allows.
	Lifetime time.Duration
}

// keep is how long a key is taken beside a log with a retention.
func (t KeyPolicy) keep(retention time.Duration) time.Duration {
	longest := time.Duration(keepShare * float64(retention))
	if t.Lifetime <= 0 {
		return longest
	}
	return min(t.Lifetime, longest)
}

// CheckAge refuses a key that tells no time (unless opaque ones are taken),
// one from the future, and one older than the record of calls.
func CheckAge(issuedMs int64, terms KeyPolicy, now time.Time, retention time.Duration) *errkind.Error {
	if issuedMs == 0 && terms.AllowOpaque {
		return nil
	}
	if issuedMs == 0 {
		return errkind.New(errkind.KeyInvalid, "send a UUID of version 7, or Idempotency-Key-Issued beside the key")
	}
	age := now.Sub(time.UnixMilli(issuedMs))
	if age < -MaxClockSkew {
		return errkind.New(errkind.KeyInvalid, "the key was made %v in the future; allowed is %v", -age.Round(time.Second), MaxClockSkew)
	}
	if keep := terms.keep(retention); age > keep {
		return errkind.New(errkind.KeyExpired, "the key is %v old; calls are kept for %v", age.Round(time.Second), keep)
	}
	return nil
}
