package fake

import (
	"net"
	"sync"
)

// acceptAll handles each connection of a listener on a goroutine of its own, until the listener is closed.
func acceptAll(listener net.Listener, goroutines *sync.WaitGroup, handle func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		goroutines.Go(func() { handle(conn) })
	}
}
