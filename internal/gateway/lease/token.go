package lease

import "github.com/toucanwell/toucanwell/internal/gateway/feed"

// Token is a fencing token: the position of a record that its holder has appended to a topic of the store.
// A later one is higher also if the store has come back from a copy in between and gives out the offset again.
type Token struct{ At feed.Position }

// offsetBits is the number of bits of a token's number that hold the offset. With feed.MaxEra the number
// stays below 2^53, up to which JSON numbers are exact.
const offsetBits = 32

// Number returns the token as targets compare it. It is never zero.
func (t Token) Number() uint64 {
	return uint64(t.At.Era)<<offsetBits | (t.At.Offset+1)&(1<<offsetBits-1)
}
