package scenario

import (
	"slices"
	"syscall"
	"time"

	"peppervale/internal/config"
	"peppervale/internal/model"
	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
)

// some draws a part of the indices below n, one at least.
func (d *play) some(part float64, n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	for i := n - 1; i > 0; i-- {
		k := d.chance.Below(i + 1)
		all[i], all[k] = all[k], all[i]
	}
	return all[:min(n, max(1, int(part*float64(n)+0.5)))]
}

// struck draws the replicas of a step: of its zone if it names one, of those that run.
func (d *play) struck(t Step) (all []*machine) {
	var from []*machine
	for _, m := range d.replicas {
		if m.Up && !m.Silent && (t.Zone == "" || m.Zone == t.Zone) {
			from = append(from, m)
		}
	}
	if len(from) == 0 {
		return nil
	}
	for _, i := range d.some(t.Part, len(from)) {
		from[i].strike++
		all = append(all, from[i])
	}
	return all
}

func (d *play) struckForwarders(t Step) (all []*caller) {
	var from []*caller
	for _, c := range d.forwarders {
		if t.Zone == "" || c.Zone == t.Zone {
			from = append(from, c)
		}
	}
	for _, i := range d.some(t.Part, len(from)) {
		all = append(all, from[i])
	}
	return all
}

// each strikes replicas now and relieves those that no later trouble struck.
func (d *play) each(t Step, on, off func(m *machine)) {
	for _, m := range d.struck(t) {
		on(m)
		mine := m.strike
		d.loop.After(t.Lasts, func() {
			if m.strike == mine {
				off(m)
			}
		})
	}
}

// strike carries a step out. A crash of governors with a number comes so many times, at moments drawn around each of size seconds.
func (d *play) strike(t Step) {
	if t.Kind == "governor_crash" && t.Number > 1 {
		more := t
		more.Number--
		d.loop.After(model.Microseconds(d.chance.Between(0.7, 1.3)*float64(seconds(t.Size))), func() { d.strike(more) })
	}
	switch do := troubles[t.Kind]; {
	case do != nil:
		do(d, t)
	default:
		d.governorsStep(t)
	}
}

var troubles = map[string]func(*play, Step){
	"zone_loss": (*play).zoneLoss, "deploy": (*play).deploy, "grow": (*play).grow, "drain": (*play).drainStep,
	"forwarder_crash": func(d *play, t Step) {
		for _, c := range d.struckForwarders(t) {
			d.killForwarder(c, t.Lasts)
		}
	},
	"forwarder_stall": func(d *play, t Step) {
		for _, c := range d.struckForwarders(t) {
			for k := range max(t.Number, 1) {
				d.loop.After(model.Microseconds(2*k)*seconds(t.Size), func() { c.Stall(seconds(t.Size)) })
			}
		}
	},
	"reconnect": func(d *play, t Step) {
		for _, c := range d.struckForwarders(t) {
			c.Break()
		}
	},
	"one_sided": func(d *play, t Step) {
		for _, c := range d.struckForwarders(t) {
			first := c.Governors[0].Name
			c.Cut[first] = true
			c.Break()
			d.loop.After(t.Lasts, func() { delete(c.Cut, first) })
		}
	},
	"sums_late": func(d *play, t Step) {
		for _, c := range d.forwarders {
			c.SumsLate = seconds(t.Size)
			d.loop.After(t.Lasts, func() { c.SumsLate = 0 })
		}
	},
	"never_ack": func(d *play, t Step) {
		for _, c := range d.struckForwarders(t) {
			c.Disobey.NeverAcks = true
			d.loop.After(t.Lasts, func() { c.Disobey.NeverAcks = false })
		}
	},
	"disobey": func(d *play, t Step) {
		for _, c := range d.struckForwarders(t) {
			c.Disobey = proxy.Disobey{IgnoresShuts: t.Group == "shuts", RepeatsAnything: t.Group == "repeats"}
			d.loop.After(t.Lasts, func() { c.Disobey = proxy.Disobey{} })
		}
	},
	"list_down":   func(d *play, t Step) { d.listTrouble(t, registry.Trouble{Fails: true}) },
	"list_silent": func(d *play, t Step) { d.listTrouble(t, registry.Trouble{Silent: true}) },
	"list_late":   func(d *play, t Step) { d.listTrouble(t, registry.Trouble{Late: seconds(t.Size)}) },
	"list_half":   func(d *play, t Step) { d.listTrouble(t, registry.Trouble{Half: true}) },
	"list_back":   func(d *play, t Step) { d.listTrouble(t, registry.Trouble{IndexBack: true}) },
	"vanish":      func(d *play, t Step) { d.each(t, d.silence, d.comeBack) },
	"slow":        func(d *play, t Step) { d.each(t, slower(t.Size), slower(1)) },
	"shared_slow": func(d *play, t Step) { t.Part = 1; d.each(t, slower(t.Size), slower(1)) },
	"neighbour": func(d *play, t Step) {
		d.each(t, func(m *machine) { d.alternate(m, m.strike, true, slower(t.Size), slower(1)) }, slower(1))
	},
	"flapping": func(d *play, t Step) {
		quiet := func(m *machine) { m.Silent = true }
		loud := func(m *machine) { m.Silent = false }
		d.each(t, func(m *machine) { d.alternate(m, m.strike, true, quiet, loud) }, loud)
	},
	"ageing": func(d *play, t Step) {
		d.each(t, func(m *machine) { d.age(m, m.strike, t, d.now()) }, func(m *machine) {
			m.Slow = 1
			m.Stop()
			d.comeBack(m)
		})
	},
	"heavy_tail": func(d *play, t Step) {
		d.heavy, d.heavySize = t.Part, t.Size
		d.loop.After(t.Lasts, func() { d.heavy = 0 })
	},
	"class_fail": func(d *play, t Step) {
		op := slices.IndexFunc(d.Operations, func(o config.Operation) bool { return o.Name == t.Group })
		d.each(t, func(m *machine) { m.FailOps = map[int]bool{op: true} }, func(m *machine) { m.FailOps = nil })
	},
	"conn_squeeze": func(d *play, t Step) {
		usual := d.Replicas.Connections
		t.Part = 1
		d.each(t, func(m *machine) { m.Connections = t.Number }, func(m *machine) { m.Connections = usual })
	},
	"handshake_slow": func(d *play, t Step) {
		usual := float64(d.Replicas.Handshake)
		t.Part = 1
		d.each(t, func(m *machine) { m.Handshake = usual * t.Size }, func(m *machine) { m.Handshake = usual })
	},
	"false_reports": func(d *play, t Step) {
		d.each(t, func(m *machine) { m.Lies = true }, func(m *machine) { m.Lies = false })
	},
}

func seconds(f float64) model.Microseconds { return model.Microseconds(f * float64(model.Second)) }

func slower(times float64) func(*machine) {
	return func(m *machine) { m.Slow = times }
}

func (d *play) listTrouble(t Step, what registry.Trouble) {
	d.list.Trouble = what
	d.loop.After(t.Lasts, func() { d.list.Trouble = registry.Trouble{} })
}

// silence leaves the process there: it answers nothing, and the list learns late.
func (d *play) silence(m *machine) {
	m.Silent = true
	d.unlisted(m, d.List.Silent)
}

// comeBack starts a replica cold, on its old address.
func (d *play) comeBack(m *machine) {
	m.Stop()
	d.startAgain(m, 20)
}

// startAgain tries for a while: the old process's port may not be free at once.
func (d *play) startAgain(m *machine, tries int) {
	d.loop.After(50*model.Millisecond, func() {
		if err := m.Start(true); err != nil {
			if tries == 0 {
				d.faults = append(d.faults, err)
				return
			}
			d.startAgain(m, tries-1)
			return
		}
		d.listed(m, d.List.Add)
	})
}

// alternate switches a trouble on and off each second while it is this replica's newest.
func (d *play) alternate(m *machine, mine int, on bool, do, undo func(*machine)) {
	if m.strike != mine {
		return
	}
	if on {
		do(m)
	} else {
		undo(m)
	}
	d.loop.After(model.Second, func() {
		if m.strike == mine {
			d.alternate(m, mine, !on, do, undo)
		}
	})
}

// age slows a replica evenly up to the step's size.
func (d *play) age(m *machine, mine int, t Step, began model.Microseconds) {
	if m.strike != mine {
		return
	}
	m.Slow = 1 + (t.Size-1)*min(1, float64(d.now()-began)/float64(max(t.Lasts, 1)))
	d.loop.After(500*model.Millisecond, func() { d.age(m, mine, t, began) })
}

func (d *play) killForwarder(c *caller, down model.Microseconds) {
	c.Kill()
	d.loop.After(down, func() { c.Start(d.standing(c)) })
}

func (d *play) zoneLoss(t Step) {
	for _, m := range d.replicas {
		if m.Zone != t.Zone || !m.Up {
			continue
		}
		m.strike++
		mine := m.strike
		if t.Silent {
			d.silence(m)
		} else {
			m.Stop()
			d.unlisted(m, d.List.Notice)
		}
		d.loop.After(t.Lasts, func() {
			if m.strike == mine {
				d.comeBack(m)
			}
		})
	}
	for _, c := range d.forwarders {
		if c.Zone == t.Zone {
			d.killForwarder(c, t.Lasts)
		}
	}
	for _, p := range d.governors {
		if p.zone == t.Zone {
			d.crash(p, t.Lasts)
		}
	}
}

// deploy replaces the replicas number at a time: drained and listed so, then restarted cold.
func (d *play) deploy(t Step) {
	all := d.struck(t)
	group := max(t.Number, 1)
	groups := (len(all) + group - 1) / group
	for g := range groups {
		for _, m := range all[g*group : min(len(all), (g+1)*group)] {
			d.loop.After(t.Lasts*model.Microseconds(g)/model.Microseconds(groups), func() {
				if !m.Up {
					return
				}
				d.drain(m)
				d.loop.After(seconds(t.Size), func() { d.comeBack(m) })
			})
		}
	}
}

// drain lets a replica finish what it has; its list entry says so a little later, and it goes on taking work until then.
func (d *play) drain(m *machine) {
	m.Draining = true
	d.listed(m, d.List.Add)
}

func (d *play) drainStep(t Step) {
	if t.Group == "but-one" { // every replica but one, of the last zone
		t.Part = 1
		spared := d.replicas[len(d.replicas)-1]
		for _, m := range d.replicas {
			if m != spared && m.Up {
				d.drain(m)
			}
		}
		d.loop.After(t.Lasts, func() {
			for _, m := range d.replicas {
				d.undrain(m)
			}
		})
		return
	}
	d.each(t, d.drain, d.undrain)
}

func (d *play) undrain(m *machine) {
	m.Draining = false
	d.listed(m, d.List.Add)
}

func (d *play) grow(t Step) {
	for zone := range d.Zones {
		for range max(t.Number, 1) {
			n := 0
			for _, m := range d.replicas {
				if m.Zone == d.Zones[zone] {
					n++
				}
			}
			if err := d.addReplica(zone, n, true); err != nil {
				d.faults = append(d.faults, err)
			}
		}
	}
}

// crash kills a governor outright and starts it again: it has its state folder and nothing else.
func (d *play) crash(p *process, down model.Microseconds) {
	p.end(syscall.SIGKILL, time.Second)
	d.loop.After(down, func() { d.again(p) })
}

// again starts a governor again.
func (d *play) again(p *process) {
	if err := p.start(); err != nil {
		d.faults = append(d.faults, err)
	}
}

func (d *play) governorsStep(t Step) {
	var all []*process
	for _, p := range d.governors {
		if t.Zone == "" || p.zone == t.Zone {
			all = append(all, p)
		}
	}
	if len(all) == 0 {
		return
	}
	for n, i := range d.some(t.Part, len(all)) {
		p := all[i]
		switch t.Kind {
		case "governor_crash":
			d.crash(p, t.Lasts)
		case "governor_stall":
			p.signal(syscall.SIGSTOP)
			d.loop.After(t.Lasts, func() { p.signal(syscall.SIGCONT) })
		case "governor_roll":
			d.loop.After(t.Lasts*model.Microseconds(n)/model.Microseconds(len(all)), func() {
				ended := p.leave(syscall.SIGTERM, 5*time.Second)
				go func() { // its farewell takes a while
					usage := ended()
					d.loop.Post(func() {
						p.usage += usage
						d.again(p)
					})
				}()
			})
		}
	}
}
