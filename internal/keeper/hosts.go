package keeper

import (
	"context"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// hostsRetryFactor bounds the pause between reads that fail.
const hostsRetryFactor = 4

// absentReads is how many lists in a row must leave an endpoint out.
const absentReads = 2

// pollHostsForever reads the platform's list of hosts on a few keepers.
func (k *Keeper) pollHostsForever(ctx context.Context) error {
	absent := map[string]int{}
	every := k.options.HostsEvery
	for {
		if k.onHostDuty(time.Now()) {
			hosts, err := k.options.Platform.Hosts(ctx)
			if err == nil {
				k.takeHosts(hosts, absent)
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

// takeHosts merges a list. The list lags: a late "live" can't undo a leaving
// that was heard from the endpoint, as the state only grows.
func (k *Keeper) takeHosts(hosts []port.HostEntry, absent map[string]int) {
	named := make(map[string]bool, len(hosts))
	for i := range hosts {
		named[hosts[i].ID] = true
		k.putEndpoint(membership.Listed(hosts[i].Endpoint), "host_list")
	}
	for e := range k.node.Endpoints.All() {
		if named[e.ID] || e.State == port.EndpointGone {
			delete(absent, e.ID)
			continue
		}
		absent[e.ID]++
		if absent[e.ID] >= absentReads {
			k.putEndpoint(membership.Delisted(e), "not_listed_and_unreachable")
		}
	}
}

// putEndpoint merges an endpoint's state, and logs a decision where that
// changes what others may do with it.
func (k *Keeper) putEndpoint(e membership.Endpoint, reason string) {
	before, known := k.node.Endpoints.Get(e.ID)
	if !k.node.PutEndpoint(e) {
		return
	}
	after, _ := k.node.Endpoints.Get(e.ID)
	if known && before.State == after.State && before.Unreachable == after.Unreachable && before.Incarnation == after.Incarnation {
		return
	}
	k.decideOn(&port.DecisionRecord{
		Subject: "endpoint", SubjectID: e.ID, Verdict: verdictOn(&after), Reason: reason, Revision: after.Revision,
	})
}

// TellLimit tells all daemons of the requests a second that an endpoint takes
// from all of them together, zero for no limit.
func (k *Keeper) TellLimit(endpoint string, incarnation uint64, perSecond float64) {
	known, ok := k.node.Endpoints.Get(endpoint)
	if ok && known.Incarnation == incarnation {
		k.node.PutEndpoint(membership.Limited(known, perSecond))
	}
}

// forgetDeparted forgets the endpoints that have left long ago. Only a change of
// the endpoints can make more of them.
func (k *Keeper) forgetDeparted() {
	digest := k.node.Endpoints.Digest()
	if digest == k.swept {
		return
	}
	k.swept = digest
	for _, id := range k.node.ForgetDeparted() {
		k.probes.hit(id)
	}
}

func verdictOn(e *membership.Endpoint) string {
	if e.State == port.EndpointLive && e.Unreachable {
		return "unreachable"
	}
	return string(e.State)
}

func (k *Keeper) decide(subject, id, verdict, reason string, version uint64) {
	k.decideOn(&port.DecisionRecord{
		Subject: subject, SubjectID: id, Verdict: verdict, Reason: reason, ConfigurationVersion: version,
	})
}

// decideOn records what this keeper believes from now on.
func (k *Keeper) decideOn(d *port.DecisionRecord) {
	if k.options.Decisions == nil {
		return
	}
	d.Time, d.Actor = time.Now(), k.options.Self.ID
	d.PlatformAgeMillis = port.AgeMillis(k.PlatformAge(d.Time))
	k.options.Decisions.Record(d)
}
