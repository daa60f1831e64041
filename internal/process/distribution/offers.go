package distribution

import "sync"

// The limits of what is kept to answer peers.
const (
	// maxRecent is the number of versions kept as bases.
	maxRecent = 8
	// maxRecentBytes bounds the contents kept as bases, in bytes.
	maxRecentBytes = 2 << 20
)

// A recent is the content of one version.
type recent struct {
	version uint64
	content []byte
}

// offers keeps recent contents, so that a peer a few versions behind is sent
// only what changed, and each packed form once made. It is safe for concurrent
// use.
type offers struct {
	// mu guards the fields below.
	mu      sync.Mutex
	recents []recent
	// current is the version that packed belongs to.
	current uint64
	packed  map[uint64][]byte
}

func newOffers() *offers { return &offers{packed: make(map[uint64][]byte)} }

// keep notes a version that came into force.
func (o *offers) keep(h Head, content []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recents = append(o.recents, recent{version: h.Version, content: content})
	size := 0
	for _, r := range o.recents {
		size += len(r.content)
	}
	for len(o.recents) > 1 && (len(o.recents) > maxRecent || size > maxRecentBytes) {
		size -= len(o.recents[0].content)
		o.recents = append([]recent(nil), o.recents[1:]...)
	}
	o.current = h.Version
	o.packed = make(map[uint64][]byte)
}

// pack returns a content packed for a peer that has a version, and the version
// that the peer needs to unpack it, 0 for none.
func (o *offers) pack(h Head, content []byte, have uint64) (uint64, []byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var base []byte
	for _, r := range o.recents {
		if r.version == have {
			base = r.content
		}
	}
	if base == nil {
		have = 0
	}
	if done, ok := o.packed[have]; ok && o.current == h.Version {
		return have, done, nil
	}
	done, err := pack(content, base)
	if err != nil {
		return 0, nil, err
	}
	if o.current == h.Version {
		o.packed[have] = done
	}
	return have, done, nil
}
