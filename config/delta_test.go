package config_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/fleet"
)

// targetSet returns a set of the size that the system is designed for.
func targetSet() config.Set { return sizedSet(5, 880, 3400) }

func sizedSet(centres, services, servers int) config.Set {
	var s config.Set
	for i := range centres {
		s.DataCentres = append(s.DataCentres, config.DataCentre{Name: centreName(i), Region: fleet.RegionID(fmt.Sprintf("r%d", i/3))})
	}
	for i := range services {
		s.Services = append(s.Services, sizedService(i))
	}
	for i := range servers {
		// Multiplying by an odd constant spreads the addresses without duplicates.
		spread := uint32(i) * 0x9e3779b1
		ip := netip.AddrFrom4([4]byte{10, byte(spread >> 16), byte(spread >> 8), byte(spread)})
		s.Servers = append(s.Servers, config.Server{
			Name:          fleet.ServerID(fmt.Sprintf("service-%d-server-%d", i%services, i/services)),
			Service:       sizedService(i % services).Name,
			DataCentre:    centreName(i / services % centres),
			Address:       netip.AddrPortFrom(ip, 8000),
			HealthAddress: netip.AddrPortFrom(ip, 9000),
		})
	}
	return s.Normalised()
}

func centreName(i int) fleet.DataCentreID { return fleet.DataCentreID(fmt.Sprintf("dc-%d", i+1)) }

func sizedService(i int) config.Service {
	s := config.Service{Name: fleet.ServiceName(fmt.Sprintf("service-%d", i)), Kind: config.KindFlow}
	if i%2 == 0 {
		s.Kind = config.KindRequest
		s.Host = fmt.Sprintf("service-%d.example.test", i)
		return s
	}
	s.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{11, 0, byte(i >> 8), byte(i)}), 443)
	return s
}

func TestTargetSetIsGood(t *testing.T) {
	is := is.New(t)
	is.NoErr(config.Check(targetSet()).Err())
}

// TestApplyCompare checks with random sets that the delta between two sets turns
// one into the other and can't be applied to any other set.
func TestApplyCompare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, updated := drawSet(t, "old"), drawSet(t, "updated")
		encoded, err := config.Compare(old, updated).Encode()
		if err != nil {
			t.Fatal(err)
		}
		delta, err := config.DecodeDelta(encoded)
		if err != nil {
			t.Fatal(err)
		}
		got, err := delta.Apply(old)
		if err != nil || got.Digest() != updated.Digest() {
			t.Fatalf("applied %v to %v: %v, %v", delta, old, got, err)
		}
		if delta.IsEmpty() != (old.Digest() == updated.Digest()) {
			t.Fatal("the delta must be empty if and only if the sets are equal")
		}
		other := drawSet(t, "other")
		if _, err := delta.Apply(other); other.Digest() != old.Digest() && err == nil {
			t.Fatal("a delta was applied to another set")
		}
	})
}

// TestApplyRefusesAnotherResult checks that a corrupted delta is rejected.
func TestApplyRefusesAnotherResult(t *testing.T) {
	is := is.New(t)
	old := sizedSet(2, 2, 4)
	updated := old.Normalised()
	updated.Servers[0].Drain = true
	delta := config.Compare(old, updated)
	delta.Servers.Put[0].Weight++
	_, err := delta.Apply(old)
	is.True(err != nil)
}

func drawSet(t *rapid.T, label string) config.Set {
	full := sizedSet(2, 3, 6)
	full.Rules = []config.Rule{{Name: "r", Service: "service-1", Kind: config.RuleOnly, DataCentres: []fleet.DataCentreID{"dc-1"}}}
	mask := rapid.SliceOfN(rapid.Bool(), 12, 12).Draw(t, label)
	set := config.Set{
		DataCentres: selectByMask(full.DataCentres, mask),
		Services:    selectByMask(full.Services, mask[2:]),
		Servers:     selectByMask(full.Servers, mask[5:]),
		Rules:       selectByMask(full.Rules, mask[11:]),
	}
	for i := range set.Servers {
		set.Servers[i].Drain = rapid.Bool().Draw(t, "drain")
	}
	for i := range set.DataCentres {
		set.DataCentres[i].Since = time.Unix(rapid.Int64Range(0, 2).Draw(t, "since"), 0)
	}
	return set.Normalised()
}

// selectByMask returns the values whose element of the mask is true.
func selectByMask[T any](values []T, mask []bool) []T {
	var selected []T
	for i, value := range values {
		if mask[i] {
			selected = append(selected, value)
		}
	}
	return selected
}

func TestEncodeIsDeterministic(t *testing.T) {
	is := is.New(t)
	set := sizedSet(3, 8, 40)
	want, err := set.Encode()
	is.NoErr(err)
	shuffled := set
	shuffled.Servers = slices.Clone(set.Servers)
	slices.Reverse(shuffled.Servers)
	got, err := shuffled.Normalised().Encode()
	is.NoErr(err)
	is.Equal(got, want)
	decoded, err := config.Decode(want)
	is.NoErr(err)
	is.Equal(decoded, set)
}

func TestDecodeRefusesBombs(t *testing.T) {
	is := is.New(t)
	huge := config.PublishedSet{Message: string(make([]byte, config.MaxEncodedBytes))}
	data, err := huge.Encode()
	is.NoErr(err)
	is.True(len(data) < 1<<20)
	_, err = config.DecodePublishedSet(data)
	is.True(err != nil)
}

func FuzzDecode(f *testing.F) {
	set := sizedSet(2, 2, 3)
	encoded, _ := set.Encode()
	published, _ := config.PublishedSet{Revision: 1, Set: set}.Encode()
	f.Add(encoded)
	f.Add(published)
	f.Fuzz(func(t *testing.T, data []byte) {
		if set, err := config.Decode(data); err == nil {
			_ = config.Check(set)
			again, err := set.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if second, err := config.Decode(again); err != nil || second.Digest() != set.Digest() {
				t.Fatal("a decoded set changes when it is encoded and decoded again", err)
			}
		}
		_, _ = config.DecodePublishedSet(data)
		_, _ = config.DecodeDelta(data)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[[server]]\nname = \"a\"\nweight = 1\n[server.x]\ny = '''\n[[service]]\n'''\n"))
	f.Add([]byte("service = [{name = \"a\", flow = {idle_timeout = 1}}]\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		set, err := config.Parse(config.File{Name: "fuzz.toml", Data: data})
		if err == nil {
			_ = config.Check(set)
		}
	})
}

// BenchmarkSizes reports the encoded sizes of the current configuration of one
// user, of one about ten times as large, and of the target size.
func BenchmarkSizes(b *testing.B) {
	for _, size := range []struct{ centres, services, servers int }{{3, 2, 18}, {4, 20, 180}, {5, 880, 3400}} {
		b.Run(fmt.Sprintf("%d services %d servers", size.services, size.servers), func(b *testing.B) {
			set := sizedSet(size.centres, size.services, size.servers)
			updated := set.Normalised()
			updated.Servers[0].Drain = true
			var plain, compressed, delta []byte
			for b.Loop() {
				plain, _ = set.Encode()
				compressed, _ = config.PublishedSet{Revision: 1, Set: set}.Encode()
				delta, _ = config.Compare(set, updated).Encode()
			}
			b.ReportMetric(float64(len(plain)), "plain-bytes")
			b.ReportMetric(float64(len(compressed)), "compressed-bytes")
			b.ReportMetric(float64(len(delta)), "delta-bytes")
		})
	}
}

func BenchmarkCheck(b *testing.B) {
	set := targetSet()
	for b.Loop() {
		_ = config.Check(set)
	}
}

func BenchmarkEncodeRevised(b *testing.B) {
	r := config.PublishedSet{Revision: 1, Set: targetSet()}
	for b.Loop() {
		_, _ = r.Encode()
	}
}

func BenchmarkDecodeRevised(b *testing.B) {
	data, _ := config.PublishedSet{Revision: 1, Set: targetSet()}.Encode()
	for b.Loop() {
		_, _ = config.DecodePublishedSet(data)
	}
}

func BenchmarkDelta(b *testing.B) {
	old, updated := targetSet(), targetSet()
	updated.Servers[17].Drain = true
	for b.Loop() {
		_, _ = config.Compare(old, updated).Encode()
	}
}

func BenchmarkApply(b *testing.B) {
	old, updated := targetSet(), targetSet()
	updated.Servers[17].Drain = true
	delta := config.Compare(old, updated)
	for b.Loop() {
		_, _ = delta.Apply(old)
	}
}
