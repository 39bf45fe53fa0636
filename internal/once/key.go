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

// Slots is the number of claim streams of a service. A key's digest selects its stream, so the
// number must not change.
const Slots = 16

const (
	digestBytes = 16
	// MaxClockSkew is the largest tolerated difference between two clocks of the system.
	MaxClockSkew = 30 * time.Second
	// maxAgeShare is the share of the log's retention for which a key is accepted. The rest
	// covers clock skew and the longest wait before a claim.
	maxAgeShare = 0.75
)

// Key identifies a call that may run only once.
type Key struct {
	// Digest is the hash of workspace, service and idempotency key.
	Digest string
	// Slot is the index of the claim stream.
	Slot int
	// IssuedMs is when the idempotency key was issued; 0 if unknown.
	IssuedMs int64
	// RequestDigest is the digest of the request.
	RequestDigest uint64
}

// SlotHash returns the hash by which a service's targets are ranked for a slot.
func SlotHash(service string, slot int) uint64 {
	return xxhash.Sum64String(StreamName(service, slot))
}

// NewKey returns the key of a workspace's call to a service.
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

// IssueTime returns when an idempotency key was issued, in Unix milliseconds: the time that the
// caller states, or else the timestamp of a version 7 UUID, or else 0.
func IssueTime(key string, statedMs int64) int64 {
	if statedMs > 0 {
		return statedMs
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0
	}
	var ms [8]byte
	copy(ms[2:], id[:6])
	return int64(binary.BigEndian.Uint64(ms[:]))
}

// KeyPolicy is a service's policy for idempotency keys.
type KeyPolicy struct {
	// AllowOpaque accepts keys without an issue time.
	AllowOpaque bool
	// Lifetime is how long a key is accepted; 0 means as long as the log's retention allows.
	Lifetime time.Duration
}

// maxAge returns the age up to which keys are accepted.
func (p KeyPolicy) maxAge(retention time.Duration) time.Duration {
	longest := time.Duration(maxAgeShare * float64(retention))
	if p.Lifetime <= 0 {
		return longest
	}
	return min(p.Lifetime, longest)
}

// CheckAge refuses a key without an issue time (unless the policy allows it), one issued in the
// future, and one that is too old.
func CheckAge(issuedMs int64, policy KeyPolicy, now time.Time, retention time.Duration) *errkind.Error {
	if issuedMs == 0 && policy.AllowOpaque {
		return nil
	}
	if issuedMs == 0 {
		return errkind.New(errkind.KeyInvalid, "the key has no issue time: use a version 7 UUID or set Idempotency-Key-Issued")
	}
	age := now.Sub(time.UnixMilli(issuedMs))
	if age < -MaxClockSkew {
		return errkind.New(errkind.KeyInvalid, "the key's issue time is %v in the future; at most %v is allowed", -age.Round(time.Second), MaxClockSkew)
	}
	if maxAge := policy.maxAge(retention); age > maxAge {
		return errkind.New(errkind.KeyExpired, "the key is %v old; keys are accepted for %v", age.Round(time.Second), maxAge)
	}
	return nil
}
