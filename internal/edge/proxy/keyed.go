package proxy

import (
	"net/http"
	"strings"
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/edge/attempt"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/apierror"
)

const (
	// claimShare is the fraction of the time left that a claim may take, maxClaimWait its upper bound.
	claimShare   = 0.5
	maxClaimWait = 1200 * time.Millisecond
)

// serveKeyed runs an operation at most once: its keys are claimed before the first byte is sent to a server, and the response
// is stored for repeats.
func (p *Proxy) serveKeyed(w http.ResponseWriter, req *clientRequest) {
	req.active.setStage(stageClaiming)
	claims, outcome := p.acquireKeys(req)
	switch {
	case outcome.Outcome == idempotency.OutcomeUndecided && req.clientLeft():
		p.reject(w, req.http, apierror.ClientLeft.Wrap(errClientLeft, "claim"))
		return
	case outcome.Outcome == idempotency.OutcomeUndecided:
		p.reject(w, req.http, apierror.Unclaimed.New("the key could not be claimed"))
		return
	case outcome.Outcome == idempotency.OutcomeConflict:
		p.replay(w, req, outcome.Response)
		return
	}
	result := p.forward(req)
	p.settleClaims(claims, req.retries.ClaimAction(result.cause), result)
	p.respond(w, req, result)
}

// operationKeys returns the keys of a request's operation. Earlier versions took the Host header as it is for the tenant: if
// that is another text, their key is claimed as well, so that an operation runs once while edges of both versions serve.
func operationKeys(req *clientRequest) []idempotency.Key {
	operation := req.http.Header.Get(headerOperationKey)
	keys := []idempotency.Key{idempotency.KeyOf(req.route.Tenant, operation)}
	if earlier := strings.ToLower(req.http.Host); earlier != req.route.Tenant {
		keys = append(keys, idempotency.KeyOf(earlier, operation))
	}
	return keys
}

// acquireKeys claims the keys of a request's operation, one after the other. It returns the claims if all are granted, and
// else the outcome of the one that isn't; then the claims before it are revoked.
func (p *Proxy) acquireKeys(req *clientRequest) (claims []idempotency.Record, outcome peer.ClaimOutcome) {
	giveUpEarly := scale(req.latencyTarget, queueShare)
	limit := min(maxClaimWait, scale(req.timeLeft(p.Now()), claimShare))
	for _, key := range operationKeys(req) {
		var claim idempotency.Record
		claim, outcome = p.claims.acquire(req.http.Context(), key, giveUpEarly, limit)
		if outcome.Outcome != idempotency.OutcomeGranted {
			p.settleClaims(claims, attempt.RevokeClaim, attemptResult{})
			return nil, outcome
		}
		claims = append(claims, claim)
	}
	return claims, outcome
}

// settleClaims does with the claims of an operation what follows from its result.
func (p *Proxy) settleClaims(claims []idempotency.Record, action attempt.ClaimAction, result attemptResult) {
	for _, claim := range claims {
		switch action {
		case attempt.CompleteClaim:
			p.claims.complete(claim, storedResponse(result))
		case attempt.RevokeClaim:
			p.claims.revoke(claim)
		case attempt.KeepClaim: // repeats are answered that the operation is in progress, until the key's window is over
		}
	}
}

// replay answers a request whose key was claimed before with the stored response of the first run. If first is nil, the
// first run has no response yet, and the request is rejected.
func (p *Proxy) replay(w http.ResponseWriter, req *clientRequest, first *idempotency.Response) {
	if first == nil {
		p.reject(w, req.http, apierror.AtWork.New("the operation is in progress"))
		return
	}
	header := http.Header{}
	for name, value := range first.Headers {
		header.Set(name, value)
	}
	p.respond(w, req, attemptResult{cause: attempt.Completed, status: first.Status, header: header, body: first.Body})
}

// storedResponse returns the parts of a response that repeats of an operation receive.
func storedResponse(result attemptResult) *idempotency.Response {
	stored := &idempotency.Response{Status: result.status, Headers: map[string]string{}, Body: result.body}
	for _, name := range []string{headerServerSeal, "Content-Type"} {
		if v := result.header.Get(name); v != "" {
			stored.Headers[name] = v
		}
	}
	return stored
}
