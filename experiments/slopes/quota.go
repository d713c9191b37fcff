package slopes

import (
	"fmt"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/decision/quota"
	"github.com/bamboodeal/bamboodeal/decision/quota/simulation"
)

// Length of a replay of quota leases, in virtual time.
const (
	quotaDuration = 24 * time.Second
	quotaWarmup   = 8 * time.Second
)

// quotaCounts are the messages of quota leases at constant load per node, in virtual time.
type quotaCounts struct {
	messagesPerNode, bytesPerNode, busiestBytes float64
	wrongful, worstTeam                         float64
	slotsMean, slotsMost                        float64
}

// countQuota replays public calls at a constant rate per node over fixed holders. A message counts in full at its
// sender and at its receiver.
func countQuota(nodes, callsPerNode int, duration time.Duration) quotaCounts {
	f := fleet{upstreams: nodes, teams: targetTeams, callsPerNode: callsPerNode}
	cfg := simulation.Config{
		Strategy: simulation.FixedHolders, Nodes: nodes, DataCentres: targetDataCentres, Teams: f.declaredTeams(),
		Duration: duration, Warmup: quotaWarmup, Delay: 1500 * time.Microsecond, Seed: 1,
	}
	for i := range cfg.Teams {
		cfg.TeamLoads = append(cfg.TeamLoads, simulation.TeamLoad{CallsPerSecond: f.teamLoad(i)})
	}
	r := simulation.Run(cfg)
	seconds := (duration - quotaWarmup).Seconds()
	perNode := 2 / seconds / float64(nodes)
	mean, most := slotsHeld(f)
	return quotaCounts{
		slotsMean: mean, slotsMost: most,
		messagesPerNode: float64(r.Messages) * perNode,
		bytesPerNode:    float64(r.Bytes) * perNode,
		busiestBytes:    float64(r.BusiestNodeBytes) / seconds,
		wrongful:        float64(r.WrongfulRefusals) / max(1, float64(r.WithinLimit)),
		worstTeam:       r.WorstTeamServedRatio,
	}
}

// slotsHeld returns the mean and the highest number of slots that a node holds.
func slotsHeld(f fleet) (mean, highest float64) {
	plan := quota.NewPlan(config.NewSet(f.objects()))
	for i := range f.upstreams {
		n := float64(len(plan.SlotsHeldBy(upstreamName(i))))
		mean += n / float64(f.upstreams)
		highest = max(highest, n)
	}
	return mean, highest
}

// MeasureQuota records the messages of quota leases of fleets in virtual time.
func MeasureQuota(r *Recorder) error {
	for _, calls := range publicCallsPerNode {
		for _, nodes := range countSizes {
			c := countQuota(nodes, calls, quotaDuration)
			name := func(what string) string { return fmt.Sprintf("quota_%s_at_%d_calls", what, calls) }
			err := r.addAll(float64(nodes), []measure{
				{name("messages_per_node"), "messages/s", c.messagesPerNode},
				{name("bytes_per_node"), "bytes/s", c.bytesPerNode},
				{name("bytes_busiest_node"), "bytes/s", c.busiestBytes},
				{name("slots_mean"), "slots", c.slotsMean},
				{name("slots_busiest_node"), "slots", c.slotsMost},
				{name("wrongful_share"), "share", c.wrongful},
				{name("worst_team_served"), "share", c.worstTeam},
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}
