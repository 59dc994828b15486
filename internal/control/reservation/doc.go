// Package reservation manages capacity that is booked in advance for a tenant's busy hours. Its types are driven by events:
// they do no I/O and read no clock. They are not safe for concurrent use.
//
//   - Ledger is the replicated state: all bookings, committed by the controllers through consensus like the configuration.
//   - Allocator runs on the leader and divides the slots of the active bookings among the edges by granting leases.
//   - LeaseHolder runs on each edge and holds the edge's shares.
//   - AdmissionGate runs on each edge, one per service. It admits requests within the edge's shares and lends idle booked
//     slots to requests without a booking.
//   - Clock is the time of day that bookings refer to: the median of the controllers' clocks.
//
// Invariant: at every moment the shares of a reservation sum to no more than its slots, despite partitions, lost messages,
// edge crashes and leader changes. For this, an allocator charges each edge with the largest share in any lease that the
// edge may have received, until the edge acknowledges a newer lease or the older one expires. A new leader grants no slots
// that its predecessor's leases may still cover.
package reservation
