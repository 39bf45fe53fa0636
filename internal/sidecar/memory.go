package sidecar

import (
	"io"
	"net/http"

	"github.com/toucanwell/toucanwell/internal/buffers"
)

const (
	// messageShareNumerator and messageShareDivisor are the part of the process's memory in which messages
	// of entries are held.
	messageShareNumerator, messageShareDivisor = 3, 8
	// messageCopies is how often a prompt is held: as received, decoded, and encoded for the target.
	messageCopies = 3
)

// boundMessages bounds the memory for the messages of entries while they are received and handled. One for
// which no memory is left is not handled; the entry gets the code resource_exhausted.
func (s *Sidecar) boundMessages(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		message := &messageBody{ReadCloser: r.Body, memory: s.messages.NewShare()}
		defer message.memory.Release()
		bounded := r.WithContext(r.Context())
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
