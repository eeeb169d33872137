package load

import "math/bits"

const (
	// probabilityBits is the precision with which probabilities are used, and modelBits that with which
	// they are learned.
	probabilityBits = 12
	modelBits       = 16
	// minProbability bounds a probability, in 1<<modelBits, so that every bit can be coded.
	minProbability = 1 << 6
	// maxObserved is how many bits a model counts. A later bit counts 1/(maxObserved+2). With 30,
	// a report of 680 servers takes 1% more bytes, with 250 as many.
	maxObserved = 60
	// modelledBits is how many bits after the highest one of a number have a model. With 3, a report of
	// 680 servers takes 1% more bytes.
	modelledBits = 4
	// minRange is the range below which another byte is written or read.
	minRange = 1 << 24
)

// bitModel is the probability that a bit is zero, learned from the bits before. The zero value stands for
// one half.
type bitModel struct {
	// change is the difference to one half, in 1/65,536.
	change   int32
	observed int32
}

// probability returns the probability in 1<<probabilityBits.
func (m *bitModel) probability() uint32 {
	return uint32(1<<(modelBits-1)+m.change) >> (modelBits - probabilityBits)
}

func (m *bitModel) update(bit uint32) {
	const bound = 1<<(modelBits-1) - minProbability
	target := int32(bound)
	if bit == 1 {
		target = -bound
	}
	m.change += (target - m.change) / (m.observed + 2)
	m.observed = min(m.observed+1, maxObserved)
}

// numberModel holds the models of numbers of one kind. A number plus one, which has up to 33 bits, is written as its
// length, a one bit for each bit after the highest one and a zero bit, and these bits.
type numberModel struct {
	length [33]bitModel
	// bits are those of the first bits by the length and the bits before.
	bits [33][1 << modelledBits]bitModel
}

// bitEncoder is the range coder of LZMA with other models, without the zero byte that its output begins with.
type bitEncoder struct {
	data []byte
	low  uint64
	span uint32
	// cached is the latest byte, to which a carry may be added, and pending the number of bytes
	// that the carry may change.
	cached  byte
	pending int
}

func newBitEncoder(size int) *bitEncoder {
	return &bitEncoder{data: make([]byte, 0, size), span: 1<<32 - 1, pending: 1}
}

func (w *bitEncoder) writeBit(m *bitModel, bit uint32) {
	bound := w.span >> probabilityBits * m.probability()
	if bit == 0 {
		w.span = bound
	} else {
		w.low += uint64(bound)
		w.span -= bound
	}
	m.update(bit)
	w.normalise()
}

// writeBits writes bits that are zero as often as one.
func (w *bitEncoder) writeBits(value uint32, size int) {
	for i := size - 1; i >= 0; i-- {
		w.span >>= 1
		if value>>i&1 == 1 {
			w.low += uint64(w.span)
		}
		w.normalise()
	}
}

func (w *bitEncoder) write(m *numberModel, number uint32) {
	value := uint64(number) + 1
	length := bits.Len64(value) - 1
	for i := range length {
		w.writeBit(&m.length[i], 1)
	}
	w.writeBit(&m.length[length], 0)
	prefix, left := uint32(1), length
	for ; left > 0 && length-left < modelledBits; left-- {
		bit := uint32(value >> (left - 1) & 1)
		w.writeBit(&m.bits[length][prefix], bit)
		prefix = prefix<<1 | bit
	}
	w.writeBits(uint32(value), left)
}

func (w *bitEncoder) normalise() {
	for w.span < minRange {
		w.span <<= 8
		w.shift()
	}
}

func (w *bitEncoder) shift() {
	if carry := byte(w.low >> 32); carry != 0 || uint32(w.low) < 0xff<<24 {
		for ; w.pending > 0; w.pending-- {
			w.data = append(w.data, w.cached+carry)
			w.cached = 0xff
		}
		w.cached = byte(w.low >> 24)
	}
	w.pending++
	w.low = w.low & (minRange - 1) << 8
}

func (w *bitEncoder) finish() []byte {
	for range 5 {
		w.shift()
	}
	return w.data[1:]
}

// bitDecoder reads what a bitEncoder has written. After a fault it returns arbitrary numbers.
type bitDecoder struct {
	data       []byte
	span, code uint32
	faulty     bool
}

func newBitDecoder(data []byte) *bitDecoder {
	r := &bitDecoder{data: data, span: 1<<32 - 1}
	for range 4 {
		r.shift()
	}
	return r
}

func (r *bitDecoder) shift() {
	r.code <<= 8
	if len(r.data) == 0 {
		r.faulty = true
		return
	}
	r.code |= uint32(r.data[0])
	r.data = r.data[1:]
}

func (r *bitDecoder) normalise() {
	for r.span < minRange {
		r.span <<= 8
		r.shift()
	}
}

func (r *bitDecoder) readBit(m *bitModel) uint32 {
	bound, bit := r.span>>probabilityBits*m.probability(), uint32(0)
	if r.code < bound {
		r.span = bound
	} else {
		bit = 1
		r.code -= bound
		r.span -= bound
	}
	m.update(bit)
	r.normalise()
	return bit
}

func (r *bitDecoder) readBits(size int) uint32 {
	value := uint32(0)
	for range size {
		r.span >>= 1
		bit := uint32(0)
		if r.code >= r.span {
			bit = 1
			r.code -= r.span
		}
		value = value<<1 | bit
		r.normalise()
	}
	return value
}

func (r *bitDecoder) read(m *numberModel) uint32 {
	length := 0
	for r.readBit(&m.length[length]) == 1 {
		if length++; length == len(m.length) {
			r.faulty = true
			return 0
		}
	}
	prefix, left := uint32(1), length
	for ; left > 0 && length-left < modelledBits; left-- {
		prefix = prefix<<1 | r.readBit(&m.bits[length][prefix])
	}
	number := (uint64(prefix)<<left | uint64(r.readBits(left))) - 1
	r.faulty = r.faulty || number>>32 != 0
	return uint32(number)
}

// atEnd reports whether all bytes were read, and there was no fault.
func (r *bitDecoder) atEnd() bool { return !r.faulty && len(r.data) == 0 }
