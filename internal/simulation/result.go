package simulation

import "time"

// Result is what a day showed.
type Result struct {
	Violation string // the first rule that was broken, and how
	Changes   int    // acknowledged
	Runs      int    // keyed operations that ran
	Repeats   int    // tries of keys that had been tried before

	Requests        int // safe and unsafe ones, of clients
	Served          int
	Late            int // of those served, after their aim
	Refused         int
	Unknown         int // broken off, or without an answer in time
	Drains          int // that were acknowledged
	RetriedRequests int // arrivals at servers beyond the first of a request
	Steps           int // events that deciders were fed

	Memberships int             // that were adopted or given up
	Reads       int             // that were confirmed
	Retries     int             // acknowledged orders that came again and were answered
	HandedOver  int             // answers that were kept by controllers that ended in order
	Restored    []time.Duration // from a trouble's end to full tolerance

	Tenant, Others Tenant // of busy days

	Took   []time.Duration // of those served, if the day asks for it
	Work   float64         // seconds that requests ran
	Beside float64         // and waited at a server while another of the service had a free slot
}

// Add sums up.
func (r *Result) Add(o Result) {
	r.Changes, r.Runs, r.Repeats = r.Changes+o.Changes, r.Runs+o.Runs, r.Repeats+o.Repeats
	r.Requests, r.Served, r.Late = r.Requests+o.Requests, r.Served+o.Served, r.Late+o.Late
	r.Refused, r.Unknown, r.Drains = r.Refused+o.Refused, r.Unknown+o.Unknown, r.Drains+o.Drains
	r.RetriedRequests, r.Steps = r.RetriedRequests+o.RetriedRequests, r.Steps+o.Steps
	r.Memberships += o.Memberships
	r.Reads += o.Reads
	r.Retries += o.Retries
	r.HandedOver += o.HandedOver
	r.Restored = append(r.Restored, o.Restored...)
	r.Tenant.add(o.Tenant)
	r.Others.add(o.Others)
	r.Work, r.Beside = r.Work+o.Work, r.Beside+o.Beside
}

func (r *Result) took(d time.Duration) {
	if r.Took != nil {
		r.Took = append(r.Took, d)
	}
}
