package loopback

import (
	"net"
	"testing"
)

// TestAddresses: distinct, free, on the machine's own network, and out of the way of what the system gives out.
func TestAddresses(t *testing.T) {
	found, err := Addresses(20)
	if err != nil {
		t.Fatal(err)
	}
	for _, address := range found {
		ln, err := net.Listen("tcp", address) // errs where one is there twice
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		if a := ln.Addr().(*net.TCPAddr); !a.IP.IsLoopback() || a.Port < firstPort || a.Port >= firstPort+ports {
			t.Errorf("%s", address)
		}
	}
	if _, err := on("192.0.2.1", 1); err == nil { // of RFC 5737: nobody's
		t.Error("a host that is not the machine's has free ports")
	}
	if _, err := Addresses(ports + 1); err == nil {
		t.Error("more addresses than there are ports")
	}
}
