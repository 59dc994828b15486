// Package reservation keeps capacity that is booked ahead for a tenant's busy hours. All its types are values fed with
// events: they do no I/O and read no clock.
//
//   - The Ledger is the lasting part: all bookings, agreed by the controllers like a configuration.
//   - An Allocator, at the leader, divides the slots of the bookings that are due among the edges, by leases.
//   - A LeaseHolder, at each edge, knows the edge's shares.
//   - An AdmissionGate, at each edge and for each service, admits requests under those shares, and lends idle slots to
//     requests that booked nothing.
//   - The Clock is the time of day that bookings are kept by: the median of the controllers' clocks.
//
// The invariant is that the shares of a reservation sum to no more than its slots at every moment, through partitions, lost
// messages, edges that die and leaders that follow each other. An allocator therefore counts, for every edge, the most that
// any lease which the edge may have received gives it, until the edge acknowledges a newer lease or the older one has run
// out; a new leader gives out nothing that its predecessor's leases may still cover.
package reservation
