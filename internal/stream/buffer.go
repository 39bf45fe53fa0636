// Package stream buffers the frames of a response, so that a reader can resume
// after a broken connection.
package stream

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

// Buffer holds the frames of a response in order. It is safe for concurrent use by
// one writer and any number of readers.
type Buffer struct {
	mu        sync.Mutex
	frames    []*peerv1.Frame
	nextSeq   uint64
	firstSeq  uint64
	ended     bool
	changed   chan struct{}
	readers   int
	idleSince time.Time
	now       func() time.Time
}

// NewBuffer returns an empty buffer whose first frame has the sequence number from.
func NewBuffer(from uint64, now func() time.Time) *Buffer {
	from = max(from, 1)
	return &Buffer{firstSeq: from, nextSeq: from, changed: make(chan struct{}), idleSince: now(), now: now}
}

// Next returns the sequence number of the next frame.
func (b *Buffer) Next() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nextSeq
}

// Append appends the next frame and reports whether it did. It ignores frames with
// other sequence numbers: a lower one is a duplicate, a higher one means that
// frames are missing.
func (b *Buffer) Append(frame *peerv1.Frame) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || frame.Seq != b.nextSeq {
		return false
	}
	b.frames = append(b.frames, frame)
	b.nextSeq++
	b.ended = frame.End != nil
	b.notifyReaders()
	return true
}

// Refuse ends the buffer with a refusal in place of the next frame.
func (b *Buffer) Refuse(refusal *peerv1.Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.frames = append(b.frames, &peerv1.Frame{Seq: b.nextSeq, Refusal: refusal})
	b.nextSeq++
	b.ended = true
	b.notifyReaders()
}

func (b *Buffer) notifyReaders() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Ended reports whether the last frame was appended.
func (b *Buffer) Ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// IdleSince returns since when the buffer has no reader; ok is false if it has one.
func (b *Buffer) IdleSince() (since time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.idleSince, b.readers == 0
}

// Follow sends the frames from a sequence number on. It returns after the last
// frame, when send fails or when the context ends.
func (b *Buffer) Follow(ctx context.Context, from uint64, send func(*peerv1.Frame) error) error {
	b.addReader()
	defer b.removeReader()
	index := int(max(from, b.firstSeq) - b.firstSeq)
	for {
		frames, changed, ended := b.framesFrom(index)
		for _, frame := range frames {
			if err := send(frame); err != nil {
				return err
			}
		}
		index += len(frames)
		if ended {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (b *Buffer) framesFrom(index int) (frames []*peerv1.Frame, changed chan struct{}, ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if index < len(b.frames) {
		frames = b.frames[index:]
	}
	return frames, b.changed, b.ended
}

func (b *Buffer) addReader() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers++
}

func (b *Buffer) removeReader() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers--
	b.idleSince = b.now()
}
