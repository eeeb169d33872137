// Command bare forwards each datagram that reaches its first argument to its
// second one. It is what a start of the entry host is compared with.
package main

import (
	"log"
	"net"
	"os"
)

func main() {
	from, err := net.ListenPacket("udp", os.Args[1])
	if err != nil {
		log.Fatal(err)
	}
	to, err := net.ResolveUDPAddr("udp", os.Args[2])
	if err != nil {
		log.Fatal(err)
	}
	buffer := make([]byte, 2048)
	for {
		n, _, err := from.ReadFrom(buffer)
		if err != nil {
			log.Fatal(err)
		}
		if _, err := from.WriteTo(buffer[:n], to); err != nil {
			log.Fatal(err)
		}
	}
}
