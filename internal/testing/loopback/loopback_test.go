package loopback

import (
	"net"
	"testing"
)

// TestAddressesAreDistinctAndFree checks that addresses are distinct, free, on the loopback network, and outside the system's range of
// ephemeral ports.
func TestAddressesAreDistinctAndFree(t *testing.T) {
	found, err := Addresses(20)
	if err != nil {
		t.Fatal(err)
	}
	for _, address := range found {
		ln, err := net.Listen("tcp", address) // fails if an address is listed twice
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		if a := ln.Addr().(*net.TCPAddr); !a.IP.IsLoopback() || a.Port < firstPort || a.Port >= firstPort+ports {
			t.Errorf("address %s is not a loopback address with a port of the range", address)
		}
	}
	if _, err := freePorts("192.0.2.1", 1); err == nil { // RFC 5737: reserved for documentation
		t.Error("freePorts returned free ports of a host that is not this machine")
	}
	if _, err := Addresses(ports + 1); err == nil {
		t.Error("Addresses returned more addresses than there are ports")
	}
}
