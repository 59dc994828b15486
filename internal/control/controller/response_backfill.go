package controller

import (
	"slices"
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
)

// responseBackfill fetches the responses of the claims that this store imported when it became a voter. Until they are
// durable here, they are on fewer stores than a majority. The next query waits for the disk, which bounds what is buffered.
type responseBackfill struct {
	*node.Env
	writer  *writer
	links   *linkTable
	members membershipState
	store   *idempotency.Store

	current *idempotency.Backfill // nil if nothing is missing
	storing bool                  // the last reply is not durable yet
}

// start begins to fetch the responses that the store misses, if it is a claim store.
func (b *responseBackfill) start() {
	missing := b.store.MissingResponses()
	if len(missing) == 0 {
		return
	}
	b.current = idempotency.NewBackfill(missing, b.Now()+keyWindow(b.Env))
}

// step sends the next query, if one is due.
func (b *responseBackfill) step(now time.Duration) {
	if b.current == nil || b.storing {
		return
	}
	source, query := b.current.Next(b.linkedSources(), b.store.MissesResponse, now)
	if len(query) > 0 {
		b.links.controllers[source].link.Send(peer.KeyQueries(query))
		return
	}
	if b.current.Done(b.otherVoters(), now) {
		b.LogEvent("responses copied", "responses", b.current.Fetched(), "missing", len(b.store.MissingResponses()))
		b.current = nil
	}
}

// linkedSources returns the sorted addresses of all linked controllers: also one that was just voted out may hold responses.
func (b *responseBackfill) linkedSources() (ips []string) {
	for ip := range b.links.controllers {
		ips = append(ips, ip)
	}
	slices.Sort(ips)
	return ips
}

// otherVoters returns the addresses of the other claim stores. The backfill ends once all of them were asked.
func (b *responseBackfill) otherVoters() []string {
	others := membership.Addresses(b.members.membership().All())
	return slices.DeleteFunc(others, func(ip string) bool { return ip == b.Settings.IP })
}

// handleReplies stores the responses in a source's reply, and sends the next query once they are durable.
func (b *responseBackfill) handleReplies(p *remote, replies []idempotency.Record) {
	if b.current == nil {
		return
	}
	var imported []idempotency.Record
	for _, r := range b.current.HandleReplies(p.ip, replies) {
		if stored, ok := b.store.ImportResponse(r, b.Now()); ok {
			imported = append(imported, stored)
		}
	}
	if len(imported) == 0 {
		b.step(b.Now())
		return
	}
	b.storing = true
	b.writer.write(&storage.Batch{Claims: imported}, func() {
		b.storing = false
		for _, r := range imported {
			b.store.MarkResponseDurable(r.Key, r.Token)
		}
		b.step(b.Now())
	})
}
