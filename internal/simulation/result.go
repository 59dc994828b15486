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
	Rejected        int
	Unknown         int // broken off, or without an answer in time
	Drains          int // that were acknowledged
	RetriedRequests int // arrivals at servers beyond the first of a request
	Events          int // events that deciders were fed

	Memberships   int             // that were adopted or given up
	Reads         int             // that were confirmed
	Retries       int             // acknowledged orders that came again and were answered
	HandedOver    int             // answers that were kept by controllers that ended in order
	RecoveryTimes []time.Duration // from a trouble's end to full tolerance

	Tenant, Others TrafficStats // of busy days

	Latencies            []time.Duration // of those served, if the day asks for it
	WorkSeconds          float64         // seconds that requests ran
	AvoidableWaitSeconds float64         // and waited at a server while another of the service had a free slot
}

// Add sums up.
func (r *Result) Add(o Result) {
	r.Changes, r.Runs, r.Repeats = r.Changes+o.Changes, r.Runs+o.Runs, r.Repeats+o.Repeats
	r.Requests, r.Served, r.Late = r.Requests+o.Requests, r.Served+o.Served, r.Late+o.Late
	r.Rejected, r.Unknown, r.Drains = r.Rejected+o.Rejected, r.Unknown+o.Unknown, r.Drains+o.Drains
	r.RetriedRequests, r.Events = r.RetriedRequests+o.RetriedRequests, r.Events+o.Events
	r.Memberships += o.Memberships
	r.Reads += o.Reads
	r.Retries += o.Retries
	r.HandedOver += o.HandedOver
	r.RecoveryTimes = append(r.RecoveryTimes, o.RecoveryTimes...)
	r.Tenant.add(o.Tenant)
	r.Others.add(o.Others)
	r.WorkSeconds, r.AvoidableWaitSeconds = r.WorkSeconds+o.WorkSeconds, r.AvoidableWaitSeconds+o.AvoidableWaitSeconds
}

func (r *Result) recordLatency(d time.Duration) {
	if r.Latencies != nil {
		r.Latencies = append(r.Latencies, d)
	}
}
