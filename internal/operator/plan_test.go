package operator

import (
	"testing"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/platform/apierror"
)

const day = `{"bookings":[
 {"id":"flyer","tenant":"a.example","service":"prix","start":"2026-07-01T06:00:00-04:00","end":"2026-07-01T12:00:00-04:00","ramp":"10m","rate":50,"work":"200ms","owner":"hall"},
 {"id":"tolls","tenant":"b.example","service":"ledger","start":"2026-07-01T06:00Z","end":"2026-07-01T07:00Z","slots":4,"owner":"hall"}]}`

func TestAFileOfDays(t *testing.T) {
	g := NewWithT(t)
	all, err := Plan("day.json", []byte(day))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all[0].Slots).To(Equal(10.0))
	g.Expect(all[0].End - all[0].Start).To(Equal(6 * 3600.0))
	g.Expect(all[1].Start).To(Equal(1782885600.0))
	for _, bad := range []struct{ text, says string }{
		{`{"bookings":[]}`, "bookings"},
		{`{"bookings":[{"id":"a/b","tenant":"t","service":"s","start":"2026-07-01T06:00Z","end":"2026-07-01T07:00Z","slots":4,"owner":"hall"}]}`, "day.json:1:"},
		{`{"bookings":[{"id":"a","tenant":"t","service":"s","start":"tomorrow","end":"2026-07-01T07:00Z","slots":4,"owner":"hall"}]}`, "start"},
		{`{"bookings":[{"id":"a","tenant":"t","service":"s","start":"2026-07-01T06:00Z","end":"2026-07-01T07:00Z","rate":4,"owner":"hall"}]}`, "slots, or rate and work"},
		{`{"bookings":[{"id":"a","tenant":"t","service":"s","start":"2026-07-01T06:00Z","end":"2026-07-01T07:00Z","slots":4,"owner":"hall","slot":1}]}`, "slot"},
		{`{"bookings":`, "day.json"},
	} {
		_, err := Plan("day.json", []byte(bad.text))
		g.Expect(apierror.For(err).Status).To(Equal(400), bad.text)
		g.Expect(err.Error()).To(ContainSubstring(bad.says))
		g.Expect(err.Error()).NotTo(ContainSubstring("\n"))
	}
}
