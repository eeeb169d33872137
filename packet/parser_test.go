package packet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rattanthread/rattanthread/packet"
)

func TestParseRefusesEmpty(t *testing.T) {
	is := is.New(t)
	var p packet.Parser
	var out packet.Packet
	is.Equal(p.Parse(nil, &out), packet.ReasonTruncated)
}
