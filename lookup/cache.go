package lookup

import "github.com/hashicorp/golang-lru/v2/simplelru"

// newCache returns an LRU cache of at most size entries, keyed by job ID. It is not safe for concurrent use.
func newCache[T any](size int) *simplelru.LRU[string, T] {
	cache, err := simplelru.NewLRU[string, T](size, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return cache
}
