package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Controllers listen on ports in [firstPort, endPort), below the kernel's ephemeral range. While a controller's
// process is down, nothing listens on its port. With ephemeral ports, a controller of another cluster was once given
// such a port and answered requests about jobs with the same ids.
const (
	firstPort = 15_000
	endPort   = 32_000
	// portAttempts is the maximum number of random ports that one call tries.
	portAttempts = 1000
)

// errNoFreePort is returned when portAttempts random ports did not yield enough free ones.
var errNoFreePort = errors.New("no free loopback port")

// addressAllocator allocates loopback addresses. It never allocates the same address twice in a process.
type addressAllocator struct {
	mu        sync.Mutex // guards allocated
	allocated map[string]bool
}

// loopbackAddresses is shared by all clusters of this process.
var loopbackAddresses = addressAllocator{allocated: map[string]bool{}}

// allocate allocates n loopback addresses on which nothing listens.
func (allocator *addressAllocator) allocate(ctx context.Context, n int) ([]string, error) {
	allocator.mu.Lock()
	defer allocator.mu.Unlock()
	var taken []string
	for attempt := 0; len(taken) < n; attempt++ {
		if attempt == portAttempts {
			return nil, errNoFreePort
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(endPort-firstPort))
		if allocator.allocated[address] || !isFree(ctx, address) {
			continue
		}
		allocator.allocated[address] = true
		taken = append(taken, address)
	}
	return taken, nil
}

// isFree reports whether nothing listens on the address.
func isFree(ctx context.Context, address string) bool {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// allocateAddresses allocates n loopback addresses on which nothing listens. No other cluster of this process is given
// them.
func allocateAddresses(ctx context.Context, n int) ([]string, error) {
	return loopbackAddresses.allocate(ctx, n)
}
