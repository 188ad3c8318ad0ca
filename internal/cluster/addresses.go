package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports of controllers are below those that the system gives to connections and to listeners that ask for any port. A
// controller's port is free while its process does not run: once another cluster's controller had got it, and answered for
// jobs of the same ids.
const (
	firstPort    = 15_000
	endPort      = 32_000
	portAttempts = 1000
)

// errNoFreePort is returned if no port can be had.
var errNoFreePort = errors.New("no free loopback port")

// addressBook gives each address to one owner in this process.
type addressBook struct {
	mu    sync.Mutex
	given map[string]bool
}

// addresses are those that clusters of this process have.
var addresses = addressBook{given: map[string]bool{}}

// take returns loopback addresses on which nothing listens, and which nobody else in this process gets.
func (book *addressBook) take(ctx context.Context, n int) ([]string, error) {
	book.mu.Lock()
	defer book.mu.Unlock()
	var taken []string
	for attempt := 0; len(taken) < n; attempt++ {
		if attempt == portAttempts {
			return nil, errNoFreePort
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(endPort-firstPort))
		if book.given[address] || !isFree(ctx, address) {
			continue
		}
		book.given[address] = true
		taken = append(taken, address)
	}
	return taken, nil
}

// isFree reports whether nothing listens on an address.
func isFree(ctx context.Context, address string) bool {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// freeAddresses are loopback addresses on which nothing listens, and which no other cluster of this process gets.
func freeAddresses(ctx context.Context, n int) ([]string, error) { return addresses.take(ctx, n) }
