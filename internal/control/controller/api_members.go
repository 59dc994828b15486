package controller

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"

	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/operator"
	"mulleinwood/internal/platform/apierror"
)

// replaceMember replaces a voter. With dry_run it only reports which controller would replace it.
func (a *controlAPI) replaceMember(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxReplacementBody, apierror.Malformed)
	if !ok {
		return
	}
	var call operator.Replacement
	if err := json.Unmarshal(body, &call); err != nil || call.Voter == "" {
		writeError(w, apierror.Malformed.New("a replacement names a voter, and may name who takes its place"))
		return
	}
	a.onLeader(w, r, func(done chan<- outcome) { a.proposeReplacement(call, done) })
}

// proposeReplacement begins a replacement. It is acknowledged once the joint membership is committed; whichever controller
// leads then completes it like any other membership change.
func (a *controlAPI) proposeReplacement(call operator.Replacement, done chan<- outcome) {
	next, err := membership.Replace(a.members.view(), call.Voter, call.By)
	if errors.Is(err, membership.ErrVoterIsLeader) && !call.DryRun {
		a.members.transferLeadership()
	}
	if err != nil {
		done <- outcome{err: replacementError(call.Voter, err)}
		return
	}
	current := a.members.current
	result := operator.ReplacementResult{Epoch: current.Epoch, Voters: current.Voters, Next: next}
	if call.DryRun || slices.Equal(next, current.Voters) {
		done <- outcome{body: result}
		return
	}
	replica := a.consensus.replica
	if err := replica.BeginChange(next, a.Now()); err != nil {
		done <- outcome{err: apierror.NoLeader.Wrap(err, "not now")}
		return
	}
	a.LogEvent("membership change", "action", membership.ActionBegin, "cause", "an operator replaces "+call.Voter)
	result.Epoch = replica.Membership().Epoch
	a.consensus.awaitEntry(replica.LastIndex(), replica.Term(), func(_ uint64, err error) {
		done <- outcome{body: result, err: err}
	})
}

// replacementError returns the answer to a failed replacement: a temporary error if it may succeed later, otherwise a
// conflict.
func replacementError(voter string, err error) error {
	if errors.Is(err, membership.ErrVoterIsLeader) || errors.Is(err, membership.ErrChangeInProgress) {
		return apierror.NoLeader.Wrap(err, "not now")
	}
	return apierror.Conflict.Wrap(err, "voter %s", voter)
}
