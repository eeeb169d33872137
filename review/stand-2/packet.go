package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet, and the length of its head.
const (
	flagRST   = 2
	flagSYN   = 8
	flagFIN   = 32
	flagACK   = 128
	headBytes = 34
)

// packet is a packet of the platform.
type packet struct {
	from, to       netip.AddrPort
	echo, seq, ack uint32
	sum            uint32
	flags          byte
	data           []byte
}

// encode encodes a packet as its sender does, with the keyed sum.
func (p packet) encode() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	from, to := p.from.Addr().As4(), p.to.Addr().As4()
	copy(b[0:], from[:])
	copy(b[4:], to[:])
	binary.BigEndian.PutUint16(b[8:], p.from.Port())
	binary.BigEndian.PutUint16(b[10:], p.to.Port())
	binary.BigEndian.PutUint16(b[12:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[14:], p.echo)
	binary.BigEndian.PutUint32(b[18:], p.seq)
	binary.BigEndian.PutUint32(b[22:], p.ack)
	b[30] = p.flags
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[26:], sumOf(b))
	return b
}

// sumOf returns the sum of an encoded packet, over all fields but echo, sum and pad.
func sumOf(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the stand-in"))
	_, _ = h.Write(b[:14])
	_, _ = h.Write(b[18:26])
	_, _ = h.Write(b[30:31])
	_, _ = h.Write(b[headBytes:])
	if sum := h.Sum32(); sum != 0 {
		return sum
	}
	return 1
}

// decode decodes a packet. It reports whether the packet is whole; a wrong sum is left to the caller.
func decode(b []byte) (packet, bool) {
	if len(b) < headBytes || len(b) != headBytes+int(binary.BigEndian.Uint16(b[12:])) {
		return packet{}, false
	}
	end := func(address, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[address:])), binary.BigEndian.Uint16(b[port:]))
	}
	return packet{
		from: end(0, 8), to: end(4, 10),
		echo: binary.BigEndian.Uint32(b[14:]), seq: binary.BigEndian.Uint32(b[18:]), ack: binary.BigEndian.Uint32(b[22:]),
		sum: binary.BigEndian.Uint32(b[26:]), flags: b[30], data: append([]byte(nil), b[headBytes:]...),
	}, true
}
