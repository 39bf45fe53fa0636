package sidecar

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/buffers"
)

const (
	// messageShareNumerator and messageShareDivisor are the part of the process's memory in which messages
	// of entries are held.
	messageShareNumerator, messageShareDivisor = 3, 8
	// messageCopies is how often a prompt is held: as received, decoded, and encoded for the target.
	messageCopies = 3
	// responseShareDivisor divides the process's memory into the part in which responses of the target are held.
	responseShareDivisor = 4
	// frameMemory is what a frame takes besides its text.
	frameMemory = 256
)

// errResponseMemory is why a run ends for whose frames no memory is left.
var errResponseMemory = errors.New("no memory left for the response")

// runMemory is what the frames of a run have taken of the memory for responses. A target in trouble may send
// frames without end. It is safe for concurrent use.
type runMemory struct {
	budget   *buffers.Budget
	mu       sync.Mutex
	taken    int64
	released bool
}

// take takes n bytes and reports whether they were free. The budget may call runs.reclaim.
func (m *runMemory) take(n int64) bool {
	if !m.budget.Take(n) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released {
		m.budget.Give(n)
		return false
	}
	m.taken += n
	return true
}

// release gives back all memory. None is taken any more.
func (m *runMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Give(m.taken)
	m.taken, m.released = 0, true
}

// responseMemoryKey is the key of the memory for a target's response in the context of an entry's message.
type responseMemoryKey struct{}

// responseMemory returns the memory for a target's response, which is given back when the entry's message has been
// handled; nil for no bound.
func responseMemory(ctx context.Context) *buffers.Share {
	share, _ := ctx.Value(responseMemoryKey{}).(*buffers.Share)
	return share
}

// boundMessages bounds the memory for the messages of entries, and for what targets answer, while they are received
// and handled. One for which no memory is left is not handled; the entry gets the code resource_exhausted.
func (s *Sidecar) boundMessages(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		message := &messageBody{ReadCloser: r.Body, memory: s.messages.NewShare()}
		defer message.memory.Release()
		response := s.responses.NewShare()
		defer response.Release()
		bounded := r.WithContext(context.WithValue(r.Context(), responseMemoryKey{}, response))
		bounded.Body = message
		next.ServeHTTP(w, bounded)
	})
}

// messageBody is the body of a request by an entry.
type messageBody struct {
	io.ReadCloser
	memory *buffers.Share
	size   int
}

// Read implements io.Reader.
func (b *messageBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.size += n
	if !b.memory.Grow(messageCopies * b.size) {
		return n, &http.MaxBytesError{Limit: int64(b.size)} // becomes resource_exhausted
	}
	return n, err
}
