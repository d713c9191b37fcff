package slopes

import (
	"fmt"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/decision/quota"
	"github.com/bamboodeal/bamboodeal/decision/quota/simulation"
)

// Duration of a replay of quota leases in virtual time, and of its first part, which is not counted.
const (
	quotaReplayDuration = 24 * time.Second
	quotaWarmup         = 8 * time.Second
)

// quotaCounts is the outcome of a replay of quota leases. Messages and bytes are per second, ratios from 0 to 1.
type quotaCounts struct {
	messagesPerNode, bytesPerNode, busiestNodeBytes float64
	wrongfulRefusalRatio, worstTeamServedRatio      float64
	meanSlots, maxSlots                             float64
}

// replayQuotaLeases replays public calls at a constant rate per node in virtual time, with the strategy
// simulation.FixedHolders. The bytes of a message count in full at its sender and at its receiver.
func replayQuotaLeases(nodes, callsPerNode int, duration time.Duration) quotaCounts {
	f := fleetSpec{upstreams: nodes, teams: targetTeams, publicCallsPerNode: callsPerNode}
	cfg := simulation.Config{
		Strategy: simulation.FixedHolders, Nodes: nodes, DataCentres: targetDataCentres, Teams: f.declaredTeams(),
		Duration: duration, Warmup: quotaWarmup, Delay: 1500 * time.Microsecond, Seed: 1,
	}
	for i := range cfg.Teams {
		cfg.TeamLoads = append(cfg.TeamLoads, simulation.TeamLoad{CallsPerSecond: f.teamCallsPerSecond(i)})
	}
	r := simulation.Run(cfg)
	seconds := (duration - quotaWarmup).Seconds()
	perNode := 2 / seconds / float64(nodes)
	mean, most := slotsHeld(f)
	return quotaCounts{
		meanSlots: mean, maxSlots: most,
		messagesPerNode:      float64(r.Messages) * perNode,
		bytesPerNode:         float64(r.Bytes) * perNode,
		busiestNodeBytes:     float64(r.BusiestNodeBytes) / seconds,
		wrongfulRefusalRatio: float64(r.WrongfulRefusals) / max(1, float64(r.WithinLimit)),
		worstTeamServedRatio: r.WorstTeamServedRatio,
	}
}

// slotsHeld returns the mean and the highest number of slots that one node holds.
func slotsHeld(f fleetSpec) (mean, highest float64) {
	plan := quota.NewPlan(config.NewSet(f.objects()))
	for i := range f.upstreams {
		n := float64(len(plan.SlotsHeldBy(upstreamName(i))))
		mean += n / float64(f.upstreams)
		highest = max(highest, n)
	}
	return mean, highest
}

// MeasureQuota records the traffic of quota leases and its effect on calls, for fleets of several sizes in virtual
// time.
func MeasureQuota(r *Recorder) error {
	for _, calls := range publicCallRates {
		for _, nodes := range fleetSizes {
			c := replayQuotaLeases(nodes, calls, quotaReplayDuration)
			name := func(quantity string) string { return fmt.Sprintf("quota_%s_at_%d_calls", quantity, calls) }
			err := r.addAll(float64(nodes), []measurement{
				{name("messages_per_node"), "messages/s", c.messagesPerNode},
				{name("bytes_per_node"), "bytes/s", c.bytesPerNode},
				{name("bytes_busiest_node"), "bytes/s", c.busiestNodeBytes},
				{name("slots_mean"), "slots", c.meanSlots},
				{name("slots_busiest_node"), "slots", c.maxSlots},
				{name("wrongful_share"), "share", c.wrongfulRefusalRatio},
				{name("worst_team_served"), "share", c.worstTeamServedRatio},
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}
