// Command bare listens on the address given as its first argument and forwards each
// datagram to the second. It is the baseline for the start time of the entry host.
package main

import (
	"log"
	"net"
	"os"
)

func main() {
	conn, err := net.ListenPacket("udp", os.Args[1])
	if err != nil {
		log.Fatal(err)
	}
	destination, err := net.ResolveUDPAddr("udp", os.Args[2])
	if err != nil {
		log.Fatal(err)
	}
	buffer := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if err != nil {
			log.Fatal(err)
		}
		if _, err := conn.WriteTo(buffer[:n], destination); err != nil {
			log.Fatal(err)
		}
	}
}
