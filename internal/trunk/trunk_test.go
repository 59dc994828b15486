package trunk_test

import (
	"encoding/binary"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/directory"
	"mulleinwood/internal/trunk"
)

func TestFramesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a, b := net.Pipe()
		from, to := trunk.NewLink(a), trunk.NewLink(b)
		var got []uint64
		go func() { _ = to.Read(func(f *trunk.Frame) { got = append(got, f.Receipt) }) }()
		for i := range uint64(50) {
			from.Send(&trunk.Frame{Receipt: i + 1, Entries: []directory.Entry{{ID: "i-1"}}})
		}
		synctest.Wait()
		g.Expect(got).To(HaveLen(50))
		for i, n := range got {
			g.Expect(n).To(Equal(uint64(i + 1)))
		}
		from.Close()
		synctest.Wait()
		<-to.Closed()
	})
}

// A cut is silent: a peer that says nothing is taken to be gone.
func TestSilenceEndsALink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a, b := net.Pipe()
		defer a.Close()
		link := trunk.NewLink(b)
		began := time.Now()
		err := link.Read(func(*trunk.Frame) {})
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(began)).To(Equal(trunk.Silence))
		<-link.Closed()
	})
}

func TestSpoiltFramesEndALink(t *testing.T) {
	for name, bytes := range map[string][]byte{
		"no CBOR":         {0, 0, 0, 2, 0xff, 0xff},
		"longer than any": binary.BigEndian.AppendUint32(nil, 1<<31),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				a, b := net.Pipe()
				go func() {
					_, _ = a.Write(bytes)
				}()
				link := trunk.NewLink(b)
				called := false
				err := link.Read(func(*trunk.Frame) { called = true })
				g.Expect(err).To(HaveOccurred())
				g.Expect(called).To(BeFalse())
				a.Close()
			})
		})
	}
}

func FuzzFrame(f *testing.F) {
	good, err := cbor.Marshal(&trunk.Frame{Receipt: 7, Entries: []directory.Entry{{ID: "i-1", Seq: 3}}, Hello: &trunk.Hello{Node: "n"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Fuzz(func(t *testing.T, body []byte) {
		a, b := net.Pipe()
		link := trunk.NewLink(b)
		go func() {
			_, _ = a.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
			a.Close()
		}()
		_ = link.Read(func(got *trunk.Frame) {
			if _, err := cbor.Marshal(got); err != nil {
				t.Fatalf("taken, but can't be written: %v", err)
			}
		})
	})
}
