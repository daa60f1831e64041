package trunk

const (
	// maxQueuedBytes is the maximum size of the messages queued for a slow peer.
	maxQueuedBytes = 16 << 20
	// partBytes is the size of the parts in which larger messages are sent. On a link of
	// 10 Mbit/s, a small message waits 13 ms for a part.
	partBytes = 16 << 10
)

// A sendQueue holds the encoded messages that are to be sent on a trunk. Small messages
// are sent in order and before the next part of a large one. Large messages are sent in
// turn, one part at a time.
type sendQueue struct {
	small []byte
	large []largeMessage
	// largeBytes is the size of what is left of large.
	largeBytes int
	lastNumber uint64
}

// A largeMessage is the rest of an encoded message that is sent in parts.
type largeMessage struct {
	number uint64
	rest   []byte
}

// push adds an encoded message and reports whether the queue had room.
func (q *sendQueue) push(encoded []byte) bool {
	queued := len(q.small) + q.largeBytes
	if queued > 0 && queued+len(encoded) > maxQueuedBytes {
		return false
	}
	if len(encoded) <= partBytes {
		q.small = append(q.small, encoded...)
		return true
	}
	q.lastNumber++
	q.large = append(q.large, largeMessage{number: q.lastNumber, rest: encoded})
	q.largeBytes += len(encoded)
	return true
}

// next removes and returns the bytes to write next; empty if there are none.
func (q *sendQueue) next() []byte {
	batch := q.small
	q.small = nil
	if len(q.large) == 0 {
		return batch
	}
	m := q.large[0]
	q.large = q.large[1:]
	part := m.rest[:min(partBytes, len(m.rest))]
	m.rest = m.rest[len(part):]
	q.largeBytes -= len(part)
	kind := kindLastPart
	if len(m.rest) > 0 {
		kind = kindPart
		q.large = append(q.large, m)
	}
	return appendMessage(batch, message{kind: kind, callID: m.number, body: part})
}
