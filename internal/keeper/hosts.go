package keeper

import (
	"context"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// hostsRetryFactor is the longest pause between failed reads, as a multiple of
// the normal one.
const hostsRetryFactor = 4

// listsToDelist is how many lists in a row must leave an endpoint out before it
// counts as delisted.
const listsToDelist = 2

// pollHosts reads the platform's list of hosts while this keeper is one of the
// few that do.
func (k *Keeper) pollHosts(ctx context.Context) error {
	missingLists := map[string]int{}
	every := k.options.HostsEvery
	for {
		if k.readsHostList(time.Now()) {
			hosts, err := k.options.Platform.Hosts(ctx)
			if err == nil {
				k.mergeHosts(hosts, missingLists)
				every = k.options.HostsEvery
			} else {
				every = min(2*every, hostsRetryFactor*k.options.HostsEvery)
			}
		}
		if err := pause(ctx, every); err != nil {
			return err
		}
	}
}

// mergeHosts merges a list of hosts. The list lags, but the state of an
// incarnation only advances, so a late "live" can't undo a "leaving" that the
// endpoint itself reported.
func (k *Keeper) mergeHosts(hosts []port.HostEntry, missingLists map[string]int) {
	listed := make(map[string]bool, len(hosts))
	for i := range hosts {
		listed[hosts[i].ID] = true
		k.putEndpoint(membership.Listed(hosts[i].Endpoint), "host_list")
	}
	for e := range k.node.Endpoints.All() {
		if listed[e.ID] || e.State == port.EndpointGone {
			delete(missingLists, e.ID)
			continue
		}
		missingLists[e.ID]++
		if missingLists[e.ID] >= listsToDelist {
			k.putEndpoint(membership.Delisted(e), "not_listed_and_unreachable")
		}
	}
}

// putEndpoint merges an endpoint's state, and logs a decision if the change
// affects how the endpoint may be used.
func (k *Keeper) putEndpoint(e membership.Endpoint, reason string) {
	before, known := k.node.Endpoints.Get(e.ID)
	if !k.node.PutEndpoint(e) {
		return
	}
	after, _ := k.node.Endpoints.Get(e.ID)
	if known && before.State == after.State && before.Unreachable == after.Unreachable && before.Incarnation == after.Incarnation {
		return
	}
	k.recordDecision(&port.DecisionRecord{
		Subject: "endpoint", SubjectID: e.ID, Verdict: endpointVerdict(&after), Reason: reason, Revision: after.Revision,
	})
}

// PublishLimit announces to all daemons how many requests per second an endpoint
// accepts from all of them together; zero means no limit.
func (k *Keeper) PublishLimit(endpoint string, incarnation uint64, perSecond float64) {
	known, ok := k.node.Endpoints.Get(endpoint)
	if ok && known.Incarnation == incarnation {
		k.node.PutEndpoint(membership.WithRateLimit(known, perSecond))
	}
}

// PublishLeaving announces to all daemons that an incarnation of an endpoint has
// stated that it is leaving.
func (k *Keeper) PublishLeaving(endpoint string, incarnation uint64) {
	known, ok := k.node.Endpoints.Get(endpoint)
	if ok && known.Incarnation == incarnation {
		k.putEndpoint(membership.WithReportedState(known, port.EndpointLeaving), "own_word")
	}
}

// PublishCold announces to all daemons that an incarnation of an endpoint has stated
// that it stays cold for a time.
func (k *Keeper) PublishCold(endpoint string, incarnation uint64, coldFor time.Duration) {
	known, ok := k.node.Endpoints.Get(endpoint)
	if ok && known.Incarnation == incarnation {
		k.node.PutEndpoint(membership.WithColdTime(known, coldFor))
	}
}

// forgetDepartedEndpoints removes the endpoints that left long ago. It does
// nothing unless the endpoints have changed, since nothing else adds departed
// ones.
func (k *Keeper) forgetDepartedEndpoints() {
	digest := k.node.Endpoints.Digest()
	if digest == k.prunedDigest {
		return
	}
	k.prunedDigest = digest
	for _, id := range k.node.PruneDeparted() {
		k.probeFailures.reset(id)
	}
}

func endpointVerdict(e *membership.Endpoint) string {
	if e.State == port.EndpointLive && e.Unreachable {
		return "unreachable"
	}
	return string(e.State)
}

func (k *Keeper) recordVerdict(subject, id, verdict, reason string, version uint64) {
	k.recordDecision(&port.DecisionRecord{
		Subject: subject, SubjectID: id, Verdict: verdict, Reason: reason, ConfigurationVersion: version,
	})
}

// recordDecision logs a decision of this keeper.
func (k *Keeper) recordDecision(d *port.DecisionRecord) {
	if k.options.Decisions == nil {
		return
	}
	d.Time, d.Actor = time.Now(), k.options.Self.ID
	d.PlatformAgeMillis = port.AgeMillis(k.PlatformAge(d.Time))
	k.options.Decisions.Record(d)
}
