package distribution

import "sync"

// Limits of the contents kept to respond to peers.
const (
	// maxBases is the number of versions kept as bases.
	maxBases = 8
	// maxBaseBytes limits the total size of the contents kept as bases.
	maxBaseBytes = 2 << 20
)

// A base is the content of one version.
type base struct {
	version uint64
	content []byte
}

// deltaCache keeps recent contents as bases, so that a peer that is a few versions
// behind is sent only the changes, and caches each compressed form. It is safe for
// concurrent use.
type deltaCache struct {
	// mu guards the fields below.
	mu    sync.Mutex
	bases []base
	// current is the version that packed belongs to. The keys of packed are the base
	// versions.
	current uint64
	packed  map[uint64][]byte
}

func newDeltaCache() *deltaCache { return &deltaCache{packed: make(map[uint64][]byte)} }

// add records a version that became active.
func (c *deltaCache) add(h Head, content []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bases = append(c.bases, base{version: h.Version, content: content})
	size := 0
	for _, b := range c.bases {
		size += len(b.content)
	}
	for len(c.bases) > 1 && (len(c.bases) > maxBases || size > maxBaseBytes) {
		size -= len(c.bases[0].content)
		c.bases = append([]base(nil), c.bases[1:]...)
	}
	c.current = h.Version
	c.packed = make(map[uint64][]byte)
}

// pack returns a content compressed for a peer that holds version have, and the
// version that the peer needs to decompress it, 0 for none.
func (c *deltaCache) pack(h Head, content []byte, have uint64) (uint64, []byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var baseContent []byte
	for _, b := range c.bases {
		if b.version == have {
			baseContent = b.content
		}
	}
	if baseContent == nil {
		have = 0
	}
	if packed, ok := c.packed[have]; ok && c.current == h.Version {
		return have, packed, nil
	}
	packed, err := pack(content, baseContent)
	if err != nil {
		return 0, nil, err
	}
	if c.current == h.Version {
		c.packed[have] = packed
	}
	return have, packed, nil
}
