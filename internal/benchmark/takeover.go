package benchmark

import (
	"context"
	"io"
	"syscall"
	"time"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
)

const (
	takeoverMembers         = 3 // each at home in a zone of its own
	takeoverShards          = 4 // of each zone, and so of each member while nothing happens
	takeoverReplicasPerZone = 4
	takeoverReplicas        = takeoverReplicasPerZone * takeoverMembers
	progressInterval        = 10 // rounds
)

// takeoverSettings are the parameters of Takeover.
type takeoverSettings struct {
	program       []string
	proxies       int
	rounds        int
	leaseDuration model.Microseconds
	shared        bool
	seed          uint64
	progress      io.Writer // nil: none
}

// Takeover kills one of three instances at random moments so many times. Each time it waits until all proxies that
// lost their instance are bound again, and until the killed instance is back and holds its shards. Instances that are
// not shared each serve whichever proxy connects. program is the command that runs an instance.
func Takeover(
	ctx context.Context, program []string, proxies, rounds int, leaseDuration model.Microseconds, shared bool,
	seed uint64, progress io.Writer,
) (*TakeoverResult, error) {
	experiment := &takeoverExperiment{
		settings: takeoverSettings{
			program:       program,
			proxies:       proxies,
			rounds:        rounds,
			leaseDuration: leaseDuration,
			shared:        shared,
			seed:          seed,
			progress:      progress,
		},
		random: standin.NewRandom(seed, "takeover"),
		watch:  newTakeoverWatch(),
	}
	return experiment.run(ctx)
}

// takeoverExperiment is the set-up of Takeover.
type takeoverExperiment struct {
	settings takeoverSettings
	random   *standin.Random
	watch    *takeoverWatch
	bed      *testbed
	members  []*takeoverMember
}

// run sets the experiment up, measures and ends everything.
func (e *takeoverExperiment) run(ctx context.Context) (*TakeoverResult, error) {
	directory, removeDirectory, err := makeDirectory("takeover")
	if err != nil {
		return nil, err
	}
	defer removeDirectory()
	if e.bed, err = newTestbed(); err != nil {
		return nil, err
	}
	defer e.bed.close()
	if err := e.addRegistry(); err != nil {
		return nil, err
	}
	if e.members, err = newTakeoverMembers(directory, e.bed.registry.Addr(), e.settings); err != nil {
		return nil, err
	}
	defer e.endMembers()
	for _, member := range e.members {
		if err := member.start(ctx); err != nil {
			return nil, err
		}
	}
	e.addProxies()
	defer e.bed.stopProxies()
	return e.measure(ctx)
}

func (e *takeoverExperiment) addRegistry() error {
	if err := e.bed.addRegistry(e.watch.observe); err != nil {
		return err
	}
	e.bed.loop.Do(func() {
		for k := range takeoverReplicas {
			e.bed.registry.Set(registry.Entry{ID: replicaID(k), Zone: zoneName(k % takeoverMembers)})
		}
	})
	return nil
}

func (e *takeoverExperiment) endMembers() {
	for k := len(e.members) - 1; k >= 0; k-- {
		e.members[k].end(syscall.SIGKILL)
	}
}

// addProxies starts proxies in all zones. Each knows all members, the one of its own zone first.
func (e *takeoverExperiment) addProxies() {
	e.bed.loop.Do(func() {
		for k := range e.settings.proxies {
			standing := []invariants.TableEntry{{Replica: replicaID(k % takeoverReplicas), Weight: 1}}
			e.bed.startProxy(e.proxySettings(k), e.settings.seed, standing, e.watch.observe)
		}
	})
}

func (e *takeoverExperiment) proxySettings(index int) proxy.Config {
	zone := index % takeoverMembers
	settings := proxy.Config{
		Name:            listenerName(index),
		Zone:            zoneName(zone),
		ExpectedRate:    1,
		RedialInterval:  redialInterval,
		DialTimeout:     model.Second,
		OmitLoadReports: true,
		OnMessage: func(receiver *proxy.Proxy, sender string, message *pubsubmsg.Message) {
			e.watch.messageApplied(e.bed.now(), receiver.Name, sender, message)
		},
	}
	for k := range takeoverMembers {
		member := e.members[(zone+k)%takeoverMembers]
		settings.Instances = append(settings.Instances, proxy.Instance{Name: member.name, Address: member.channel})
	}
	return settings
}

// allProxiesBound tells whether each proxy is bound, and connected to the member of its zone if shards are shared.
func (e *takeoverExperiment) allProxiesBound() bool {
	allBound := true
	e.bed.loop.Do(func() {
		for k, connected := range e.bed.proxies {
			instance := connected.JoinedInstance()
			isBound := connected.Bound() && instance != ""
			isHome := !e.settings.shared || instance == e.members[k%takeoverMembers].name
			allBound = allBound && isBound && isHome
		}
	})
	return allBound
}

func (e *takeoverExperiment) measure(ctx context.Context) (*TakeoverResult, error) {
	if err := await(ctx, "all proxies bound", e.allProxiesBound); err != nil {
		return nil, err
	}
	var totals takeoverRound
	for round := range e.settings.rounds {
		moves, err := e.killAndRestart(ctx)
		if err != nil {
			return nil, err
		}
		totals.takenOver += moves.takenOver
		totals.returned += moves.returned
		if e.settings.progress != nil && (round+1)%progressInterval == 0 {
			printf(e.settings.progress, "%d of %d\n", round+1, e.settings.rounds)
		}
	}
	return e.result(totals), nil
}

// takeoverRound counts the leases granted in a round.
type takeoverRound struct {
	takenOver float64 // until all proxies were bound again
	returned  float64 // until the killed member was back
}

// killAndRestart kills a member and waits until the others have taken over, then restarts it and waits until
// everything is back.
func (e *takeoverExperiment) killAndRestart(ctx context.Context) (takeoverRound, error) {
	// The moment differs between two renewals of the leases.
	time.Sleep(time.Duration(e.random.Float() * float64(e.settings.leaseDuration.Duration())))
	index := e.drawMember()
	killed := e.members[index]
	survivor := e.members[(index+1)%takeoverMembers]
	grantsBefore := survivor.grantsKnown(e.settings.shared)
	e.watch.beginRound(killed.name, e.bed.now())
	killed.end(syscall.SIGKILL)
	if err := await(ctx, "proxies without an instance bound again", e.watch.allOrphansBound); err != nil {
		return takeoverRound{}, err
	}
	grantsAfterTakeover := survivor.grantsKnown(e.settings.shared)
	e.watch.endRound()
	if err := killed.start(ctx); err != nil {
		return takeoverRound{}, err
	}
	if err := await(ctx, "all proxies back at their instances", e.allProxiesBound); err != nil {
		return takeoverRound{}, err
	}
	return takeoverRound{
		takenOver: float64(grantsAfterTakeover - grantsBefore),
		returned:  float64(survivor.grantsKnown(e.settings.shared) - grantsAfterTakeover),
	}, nil
}

// drawMember draws the member to kill. Proxies of members that share nothing stay where they are, so the next member
// that has any is taken.
func (e *takeoverExperiment) drawMember() int {
	index := e.random.IntN(takeoverMembers)
	if e.settings.shared {
		return index
	}
	for e.watch.proxiesOf(e.members[index].name) == 0 {
		index = (index + 1) % takeoverMembers
	}
	return index
}

func (e *takeoverExperiment) result(totals takeoverRound) *TakeoverResult {
	rounds := float64(e.settings.rounds)
	result := &TakeoverResult{
		Shared:         e.settings.shared,
		Proxies:        e.settings.proxies,
		Rounds:         e.settings.rounds,
		LeaseDuration:  e.settings.leaseDuration.Duration(),
		ShardsMoved:    totals.takenOver / rounds,
		MinShardsMoved: takeoverShards,
		ShardsReturned: totals.returned / rounds,
	}
	e.watch.summarize(result, e.bed.now())
	return result
}
