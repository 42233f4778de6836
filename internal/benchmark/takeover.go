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
	takeoverMembers         = 3 // each in a separate zone
	takeoverShards          = 4 // shards of each zone; a member holds its zone's shards while all members are alive
	takeoverReplicasPerZone = 4
	takeoverReplicas        = takeoverReplicasPerZone * takeoverMembers
	progressInterval        = 10 // rounds between two progress messages
)

// takeoverSettings are the parameters of Takeover.
type takeoverSettings struct {
	program       []string
	proxies       int
	rounds        int
	leaseDuration model.Microseconds
	inCluster     bool // the instances form a cluster
	seed          uint64
	progress      io.Writer // nil: none
}

// Takeover kills one of three instances at a random moment in each round. It waits until all proxies of the killed
// instance are bound by another one, restarts the instance and waits until all proxies are bound and, in a cluster,
// connected to the member of their zone. The result has the times that the proxies of the killed instances had to wait
// and the number of leases that were granted. If inCluster is false, the instances form no cluster and each of them
// serves every proxy that connects. program is the command line that runs an instance.
func Takeover(
	ctx context.Context, program []string, proxies, rounds int, leaseDuration model.Microseconds, inCluster bool,
	seed uint64, progress io.Writer,
) (*TakeoverResult, error) {
	experiment := &takeoverExperiment{
		settings: takeoverSettings{
			program:       program,
			proxies:       proxies,
			rounds:        rounds,
			leaseDuration: leaseDuration,
			inCluster:     inCluster,
			seed:          seed,
			progress:      progress,
		},
		random:   standin.NewRandom(seed, "takeover"),
		observer: newTakeoverObserver(),
	}
	return experiment.run(ctx)
}

// takeoverExperiment holds the instances and proxies of Takeover.
type takeoverExperiment struct {
	settings takeoverSettings
	random   *standin.Random
	observer *takeoverObserver
	testbed  *testbed
	members  []*takeoverMember
}

// run sets up the experiment, runs all rounds and stops all processes.
func (e *takeoverExperiment) run(ctx context.Context) (*TakeoverResult, error) {
	directory, removeDirectory, err := makeDirectory("takeover")
	if err != nil {
		return nil, err
	}
	defer removeDirectory()
	if e.testbed, err = newTestbed(); err != nil {
		return nil, err
	}
	defer e.testbed.close()
	if err := e.addRegistry(); err != nil {
		return nil, err
	}
	if e.members, err = newTakeoverMembers(directory, e.testbed.registry.Addr(), e.settings); err != nil {
		return nil, err
	}
	defer e.stopMembers()
	for _, member := range e.members {
		if err := member.start(ctx); err != nil {
			return nil, err
		}
	}
	e.addProxies()
	defer e.testbed.stopProxies()
	return e.measure(ctx)
}

func (e *takeoverExperiment) addRegistry() error {
	if err := e.testbed.addRegistry(e.observer.observe); err != nil {
		return err
	}
	e.testbed.loop.Do(func() {
		for k := range takeoverReplicas {
			e.testbed.registry.Set(registry.Entry{ID: replicaID(k), Zone: zoneName(k % takeoverMembers)})
		}
	})
	return nil
}

func (e *takeoverExperiment) stopMembers() {
	for k := len(e.members) - 1; k >= 0; k-- {
		e.members[k].stop(syscall.SIGKILL)
	}
}

// addProxies starts proxies in all zones. Each proxy knows all members and dials the member of its own zone first.
func (e *takeoverExperiment) addProxies() {
	e.testbed.loop.Do(func() {
		for k := range e.settings.proxies {
			standing := []invariants.TableEntry{{Replica: replicaID(k % takeoverReplicas), Weight: 1}}
			e.testbed.startProxy(e.proxySettings(k), e.settings.seed, standing, e.observer.observe)
		}
	})
}

func (e *takeoverExperiment) proxySettings(index int) proxy.Config {
	zone := index % takeoverMembers
	settings := proxy.Config{
		Name:            proxyName(index),
		Zone:            zoneName(zone),
		ExpectedRate:    1,
		RedialInterval:  redialInterval,
		DialTimeout:     model.Second,
		OmitLoadReports: true,
		OnMessage: func(receiver *proxy.Proxy, sender string, message *pubsubmsg.Message) {
			e.observer.messageApplied(e.testbed.now(), receiver.Name, sender, message)
		},
	}
	for k := range takeoverMembers {
		member := e.members[(zone+k)%takeoverMembers]
		settings.Instances = append(settings.Instances, proxy.Instance{Name: member.name, Address: member.channelAddress})
	}
	return settings
}

// allProxiesBound reports whether all proxies are bound and, if the instances form a cluster, connected to the member
// of their zone.
func (e *takeoverExperiment) allProxiesBound() bool {
	allBound := true
	e.testbed.loop.Do(func() {
		for k, p := range e.testbed.proxies {
			instance := p.JoinedInstance()
			isBound := p.Bound() && instance != ""
			isAtOwnMember := !e.settings.inCluster || instance == e.members[k%takeoverMembers].name
			allBound = allBound && isBound && isAtOwnMember
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
		grants, err := e.killAndRestart(ctx)
		if err != nil {
			return nil, err
		}
		totals.takeoverGrants += grants.takeoverGrants
		totals.returnGrants += grants.returnGrants
		if e.settings.progress != nil && (round+1)%progressInterval == 0 {
			printf(e.settings.progress, "%d of %d\n", round+1, e.settings.rounds)
		}
	}
	return e.result(totals), nil
}

// takeoverRound counts the leases that are granted in a round, or in all rounds together.
type takeoverRound struct {
	takeoverGrants float64 // from the kill until the killed member's proxies are bound again
	returnGrants   float64 // from the restart until allProxiesBound reports true
}

// killAndRestart kills a member and waits until the other members have taken over its proxies. It then restarts the
// member and waits until the proxies have returned to it.
func (e *takeoverExperiment) killAndRestart(ctx context.Context) (takeoverRound, error) {
	// A random part of the lease duration passes, so that the kill is at a random time between two lease renewals.
	time.Sleep(time.Duration(e.random.Float() * float64(e.settings.leaseDuration.Duration())))
	index := e.drawMember()
	killed := e.members[index]
	survivor := e.members[(index+1)%takeoverMembers]
	grantsBefore := survivor.leaseGrants(e.settings.inCluster)
	e.observer.beginRound(killed.name, e.testbed.now())
	killed.stop(syscall.SIGKILL)
	if err := await(ctx, "all proxies of the killed instance bound again", e.observer.allDisplacedBound); err != nil {
		return takeoverRound{}, err
	}
	grantsAfterTakeover := survivor.leaseGrants(e.settings.inCluster)
	e.observer.endRound()
	if err := killed.start(ctx); err != nil {
		return takeoverRound{}, err
	}
	if err := await(ctx, "all proxies reconnected to the restarted instance", e.allProxiesBound); err != nil {
		return takeoverRound{}, err
	}
	return takeoverRound{
		takeoverGrants: float64(grantsAfterTakeover - grantsBefore),
		returnGrants:   float64(survivor.leaseGrants(e.settings.inCluster) - grantsAfterTakeover),
	}, nil
}

// drawMember draws the member to kill. Without a cluster, proxies do not return to a restarted member. drawMember then
// skips members without proxies.
func (e *takeoverExperiment) drawMember() int {
	index := e.random.IntN(takeoverMembers)
	if e.settings.inCluster {
		return index
	}
	for e.observer.proxyCount(e.members[index].name) == 0 {
		index = (index + 1) % takeoverMembers
	}
	return index
}

func (e *takeoverExperiment) result(totals takeoverRound) *TakeoverResult {
	rounds := float64(e.settings.rounds)
	result := &TakeoverResult{
		InCluster:          e.settings.inCluster,
		Proxies:            e.settings.proxies,
		Rounds:             e.settings.rounds,
		LeaseDuration:      e.settings.leaseDuration.Duration(),
		MeanShardsMoved:    totals.takeoverGrants / rounds,
		MinShardsMoved:     takeoverShards,
		MeanShardsReturned: totals.returnGrants / rounds,
	}
	e.observer.summarize(result, e.testbed.now())
	return result
}
