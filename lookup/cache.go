package lookup

import "github.com/hashicorp/golang-lru/v2/simplelru"

// newCache returns a cache, by job, that keeps the entries used last. It is not safe for concurrent use.
func newCache[T any](size int) *simplelru.LRU[string, T] {
	cache, err := simplelru.NewLRU[string, T](size, nil)
	if err != nil {
		panic(err) // only for a size below one
	}
	return cache
}
