package engineemulator

import (
	"container/list"
	"hash/fnv"
	"strings"

	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// blockTokens is the number of tokens in one block of the prefix cache.
const blockTokens = 16

// prefixCache is an LRU cache of the hashes of prompt blocks.
type prefixCache struct {
	limit    int        // blocks
	order    *list.List // most recently used first
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []upstream.CacheEvent
}

func newPrefixCache(blocks int) *prefixCache {
	return &prefixCache{limit: blocks, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookup returns the number of the prompt's leading tokens that are cached, and
// caches all complete blocks of the prompt.
func (c *prefixCache) lookup(prompt []string) int {
	cached := 0
	missed := false
	for _, block := range blockHashes(prompt) {
		element, found := c.blocks[block]
		if found {
			c.order.MoveToFront(element)
		} else {
			c.insert(block)
		}
		missed = missed || !found
		if !missed {
			cached += blockTokens
		}
	}
	return cached
}

func (c *prefixCache) insert(block uint64) {
	c.blocks[block] = c.order.PushFront(block)
	c.publish(block, false)
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		evicted, _ := c.order.Remove(oldest).(uint64)
		delete(c.blocks, evicted)
		c.publish(evicted, true)
	}
}

// maxCacheEvents is the number of recent events that readers can get.
const maxCacheEvents = 4096

func (c *prefixCache) publish(block uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, upstream.CacheEvent{Sequence: c.sequence, Block: block, Evicted: evicted})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// blockHashes returns a hash for each complete block of the prompt, which covers
// the block and all before it.
func blockHashes(prompt []string) []uint64 {
	hash := fnv.New64a()
	hashes := make([]uint64, 0, len(prompt)/blockTokens)
	for i, token := range prompt {
		_, _ = hash.Write([]byte(token))
		_, _ = hash.Write([]byte{0})
		if (i+1)%blockTokens == 0 {
			hashes = append(hashes, hash.Sum64())
		}
	}
	return hashes
}

func tokenize(text string) []string {
	return strings.Fields(text)
}
