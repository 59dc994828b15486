package controller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"

	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/operator"
	"mulleinwood/internal/platform/apierror"
)

const memberCallMost = 64 << 10 // bytes of a call

// memberOutcome is the outcome of an operator's call that replaces a voter.
type memberOutcome struct {
	made   operator.ReplacementResult
	leader string
	err    error
}

// replaceMember takes an operator's call that replaces a voter. With dry_run it only says what would be done.
func (c *Controller) replaceMember(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, memberCallMost))
	if err != nil {
		refuse(w, apierror.Malformed.Wrap(err, "body"))
		return
	}
	var call operator.Replacement
	if err := json.Unmarshal(body, &call); err != nil || call.Voter == "" {
		refuse(w, apierror.Malformed.New("a replacement names a voter, and may name who takes its place"))
		return
	}
	done := make(chan memberOutcome, 1)
	c.do(func() { c.proposeReplacement(call, done) })
	select {
	case out := <-done:
		switch {
		case out.leader != "":
			c.elsewhere(w, r, out.leader)
		case out.err != nil:
			refuse(w, out.err)
		default:
			reply(w, http.StatusOK, out.made)
		}
	case <-r.Context().Done():
	}
}

// proposeReplacement begins a replacement, if this controller leads. It is acknowledged once the joint membership is
// committed; the change is finished like any other.
func (c *Controller) proposeReplacement(call operator.Replacement, done chan memberOutcome) {
	if !c.leads() {
		done <- memberOutcome{leader: c.leader(), err: apierror.NoLeader.New("nobody leads now")}
		return
	}
	now := c.now()
	next, err := membership.Replace(c.view(), call.Voter, call.By)
	if errors.Is(err, membership.ErrVoterLeads) && !call.DryRun {
		c.passLeadership()
	}
	switch {
	case errors.Is(err, membership.ErrVoterLeads), errors.Is(err, membership.ErrChanging):
		done <- memberOutcome{err: apierror.NoLeader.Wrap(err, "not now")}
		return
	case err != nil:
		done <- memberOutcome{err: apierror.Conflict.Wrap(err, "voter %s", call.Voter)}
		return
	}
	made := operator.ReplacementResult{Epoch: c.membership.Epoch, Voters: c.membership.Voters, Next: next}
	if call.DryRun || slices.Equal(next, made.Voters) {
		done <- memberOutcome{made: made}
		return
	}
	if err := c.replica.BeginChange(next, now); err != nil {
		done <- memberOutcome{err: apierror.NoLeader.Wrap(err, "not now")}
		return
	}
	_ = c.logger.Log("event", "membership change", "action", membership.ActionBegin, "cause", "an operator replaces "+call.Voter)
	made.Epoch = c.replica.Membership().Epoch
	c.wait(c.replica.Last(), waiter{term: c.replica.Term(), until: now + callLimit, answer: func(_ uint64, err error) {
		done <- memberOutcome{made: made, err: err}
	}})
}

// passLeadership hands leadership to any other voter that holds the whole log.
func (c *Controller) passLeadership() {
	for _, id := range c.membership.Voters {
		if id != c.identity && c.replica.TransferLeadership(id, c.now()) {
			return
		}
	}
}
