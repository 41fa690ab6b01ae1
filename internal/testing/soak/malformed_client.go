package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"time"
)

// runMalformedClient sends malformed and incomplete messages until the traffic ends.
func (run *testRun) runMalformedClient(random *rand.Rand) {
	for run.trafficOn() {
		conn, err := net.DialTimeout("tcp", run.clientAddress(), time.Second)
		if err == nil {
			whole := array("DO", "1", "read", "req=00000000000000ff,ts=1,via=1,owner=acme,need=10", "x")
			text := []string{"", "*", "nonsense\r\n", whole[:len(whole)/2], array("DO", "0"), "*1000000000\r\n", array("NONE", "1", "2")}[random.IntN(7)]
			_, _ = io.WriteString(conn, text)
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			conn.Close()
		}
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}
