package peer_test

import (
	"encoding/binary"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/peer"
)

func TestFramesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a, b := net.Pipe()
		from, to := peer.NewLink(a), peer.NewLink(b)
		var got []uint64
		go func() {
			_ = to.Read(func(messages []peer.Message) {
				got = append(got, messages[0].(peer.RegistryUpdate).AckID)
			})
		}()
		for i := range uint64(50) {
			from.Send(peer.RegistryUpdate{AckID: i + 1, Entries: []registry.Entry{{ID: "i-1"}}})
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

// A network partition causes no error on the connection, so a peer that sends nothing must time out.
func TestTimeoutEndsALink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a, b := net.Pipe()
		defer a.Close()
		link := peer.NewLink(b)
		startedAt := time.Now()
		err := link.Read(func([]peer.Message) {})
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(startedAt)).To(Equal(peer.LinkTimeout))
		<-link.Closed()
	})
}

func TestCorruptFramesEndALink(t *testing.T) {
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
				link := peer.NewLink(b)
				called := false
				err := link.Read(func([]peer.Message) { called = true })
				g.Expect(err).To(HaveOccurred())
				g.Expect(called).To(BeFalse())
				a.Close()
			})
		})
	}
}

func FuzzFrame(f *testing.F) {
	valid, err := cbor.Marshal(&peer.Frame{AckID: 7, Entries: []registry.Entry{{ID: "i-1", Seq: 3}}, Handshake: &peer.Handshake{Node: "n"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Fuzz(func(t *testing.T, body []byte) {
		a, b := net.Pipe()
		link := peer.NewLink(b)
		go func() {
			_, _ = a.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
			a.Close()
		}()
		_ = link.Read(func(messages []peer.Message) {
			got := peer.FrameOf(messages...)
			if _, err := cbor.Marshal(got); err != nil {
				t.Fatalf("decoded, but can't be encoded: %v", err)
			}
		})
	})
}
