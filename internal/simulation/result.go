package simulation

import "time"

// Result is the outcome of one or several simulation runs.
type Result struct {
	Violation string // the first rule that was violated, and how; empty: none
	Changes   int    // acknowledged configuration changes
	Runs      int    // keyed operations that ran
	Repeats   int    // attempts with a key that had been attempted before

	Requests        int // client requests, safe and unsafe
	Served          int
	Late            int // served requests whose latency exceeded the target
	Rejected        int
	Unknown         int // truncated, or without a response in time
	Drains          int // acknowledged drains of servers
	RetriedRequests int // arrivals at servers after the first one of each request
	Events          int // delivered messages and scheduled events

	Memberships   int             // completed or abandoned membership changes
	Reads         int             // confirmed reads
	Retries       int             // acknowledged changes that were sent again and replied to
	HandedOver    int             // stored responses of controllers that shut down
	Kept          int             // confirmed responses that were found at the end
	RepeatsServed int             // repeats that got the response of the first run
	RecoveryTimes []time.Duration // from the end of a fault to full fault tolerance

	Tenant, Others TrafficStats // only with a BookingLoad

	Latencies            []time.Duration // of served requests, only with MeasureLatency
	WorkSeconds          float64         // running time of requests, in seconds
	AvoidableWaitSeconds float64         // time that requests waited while another server of the service had a free slot
}

// Add adds the counts, recovery times and traffic statistics of another result. Latencies are not added.
func (r *Result) Add(o Result) {
	r.Changes, r.Runs, r.Repeats = r.Changes+o.Changes, r.Runs+o.Runs, r.Repeats+o.Repeats
	r.Requests, r.Served, r.Late = r.Requests+o.Requests, r.Served+o.Served, r.Late+o.Late
	r.Rejected, r.Unknown, r.Drains = r.Rejected+o.Rejected, r.Unknown+o.Unknown, r.Drains+o.Drains
	r.RetriedRequests, r.Events = r.RetriedRequests+o.RetriedRequests, r.Events+o.Events
	r.Memberships += o.Memberships
	r.Reads += o.Reads
	r.Retries += o.Retries
	r.HandedOver += o.HandedOver
	r.Kept += o.Kept
	r.RepeatsServed += o.RepeatsServed
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
