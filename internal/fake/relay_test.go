package fake

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

// echo starts a listener that sends all data of a connection back to its sender.
func echo(t *testing.T, at string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", at)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.(*net.TCPConn).CloseWrite() }()
		}
	}()
	t.Cleanup(func() { l.Close() })
	return l
}

// Streams between nodes are forwarded completely, stall while a link drops or stalls them, and continue without loss; a reset ends
// them; the rate limit holds.
func TestStreams(t *testing.T) {
	var nodes []*net.UDPAddr
	for i := range 2 {
		u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 77, 1, byte(1+i))})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { u.Close() })
		nodes = append(nodes, u.LocalAddr().(*net.UDPAddr))
		echo(t, u.LocalAddr().String())
	}
	p, err := NewPath(nodes...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	if err := p.CarryStreams(); err != nil {
		t.Fatal(err)
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", p.PeerAddr(0, 1))
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		t.Cleanup(func() { c.Close() })
		return c
	}
	payload := bytes.Repeat([]byte("0123456789abcdef"), 8<<10)
	echoes := func(c net.Conn) bool {
		go c.Write(payload)
		got := make([]byte, len(payload))
		_, err := io.ReadFull(c, got)
		return err == nil && bytes.Equal(got, payload)
	}
	c := dial()
	if !echoes(c) {
		t.Fatal("the stream was not forwarded")
	}
	for _, f := range []Impairment{{Drop: true}, {StallStreams: true}} {
		for _, direction := range [][2]int{{0, 1}, {1, 0}} {
			p.Set(direction[0], direction[1], f)
			answer := make(chan bool, 2)
			opened := dial()
			go func() { answer <- echoes(c) }()
			go func() { answer <- echoes(opened) }()
			select {
			case ok := <-answer:
				t.Fatalf("%+v from %d: data passed (complete: %v)", f, direction[0], ok)
			case <-time.After(50 * time.Millisecond):
			}
			p.Set(direction[0], direction[1], Impairment{})
			for range 2 {
				if !<-answer {
					t.Fatalf("%+v from %d: data was lost", f, direction[0])
				}
			}
		}
	}
	p.Set(0, 1, Impairment{Delay: 10 * time.Millisecond, Jitter: 10 * time.Millisecond, LossRate: 0.01})
	if !echoes(c) {
		t.Error("a slow link loses data")
	}
	p.Set(0, 1, Impairment{Rate: 1 << 20})
	if start := time.Now(); !echoes(c) || time.Since(start) < 100*time.Millisecond {
		t.Errorf("128 KiB took %v at 1 MiB per second", time.Since(start))
	}
	p.Set(0, 1, Impairment{})
	c.(*net.TCPConn).CloseWrite()
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("an orderly end arrived as %v", err)
	}
	c = dial()
	if !echoes(c) {
		t.Fatal("no new stream was forwarded")
	}
	p.ResetStreams(0, 1)
	if _, err := c.Read(make([]byte, 1)); err == nil || err == io.EOF {
		t.Errorf("a reset arrived as %v", err)
	}
}
