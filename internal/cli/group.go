package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"peppervale/internal/cluster"
)

// Group is peppervale group.
type Group struct {
	Status GroupStatus `cmd:"" help:"Show members, parts, epochs and the last takeovers, as one member knows them."`
	Move   GroupMove   `cmd:"" help:"Put a part to a member; it stays there until that one goes."`
	Drain  GroupDrain  `cmd:"" name:"drain-member" help:"Have a member give all its parts away, one at a time, or take parts again."`
	Strike GroupStrike `cmd:"" help:"Take a member that is gone for good off the group; its vote goes too."`
}

// member is the member that is asked; it hands to the leader what only that one can do.
type member struct {
	At   string        `help:"Group port of any member, host:port." required:""`
	Wait time.Duration `help:"How long to wait for an answer." default:"5s"`
}

func (m member) ask(words ...string) error {
	_, err := cluster.Request(m.At, m.Wait, words...)
	return err
}

// GroupStatus is peppervale group status.
type GroupStatus struct {
	member
	JSON bool `name:"json" help:"Write JSON."`
}

// Run is the command.
func (c *GroupStatus) Run(out io.Writer) error {
	text, err := cluster.Request(c.At, c.Wait, "STATUS")
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = fmt.Fprintln(out, text)
		return err
	}
	var s cluster.Status
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return fmt.Errorf("%s: %w", c.At, err)
	}
	leads := s.Leader
	if leads == "" {
		leads = "nobody that it knows of"
	}
	fmt.Fprintf(out, "as %s knows it; %s leads, term %d\n", s.Member, leads, s.Term)
	if s.Fault != "" {
		fmt.Fprintf(out, "%s cannot hold what it should: %s\n", s.Member, s.Fault)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nmember\tzone\tchannel\tparts\tusual rate\tstate")
	for _, m := range s.Members {
		state := "seems gone"
		if m.SeemsAlive {
			state = "seems alive"
		}
		if !m.Voter {
			state += ", no vote"
		}
		if m.Draining {
			state += ", leaving"
		}
		if m.Removed {
			state = "struck off"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%s\n", m.Name, m.Zone, m.Channel, m.Shards, m.Load, state)
	}
	fmt.Fprintln(w, "\npart\tzone\tholder\tepoch\tusual rate\twanted")
	for _, p := range s.Shards {
		wanted := p.Target
		if p.Pinned {
			wanted += ", by hand"
		}
		if p.WaitReason != "" {
			wanted += ": " + p.WaitReason
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%.1f\t%s\n", p.Number, p.Zone, p.Holder, p.Epoch, p.Load, wanted)
	}
	if n := len(s.Takeovers); n > 0 {
		fmt.Fprintln(w, "\nlast takeovers\tepoch\tfrom\tto\thow\twhy")
		for _, e := range s.Takeovers[max(0, n-10):] {
			how := "lease ran out"
			switch {
			case e.From == "":
				how = "first"
			case e.Planned:
				how = "planned"
			}
			fmt.Fprintf(w, "part %d\t%d\t%s\t%s\t%s\t%s\n", e.Shard, e.Epoch, e.From, e.To, how, e.Reason)
		}
	}
	return w.Flush()
}

// GroupMove is peppervale group move.
type GroupMove struct {
	member
	Part int    `arg:"" help:"The part's number, as status shows it."`
	To   string `arg:"" help:"The member's name."`
}

// Run is the command.
func (c *GroupMove) Run(out io.Writer) error {
	if err := c.ask("MOVE", strconv.Itoa(c.Part), c.To); err != nil {
		return err
	}
	fmt.Fprintf(out, "part %d is to go to %s; status shows when it is there\n", c.Part, c.To)
	return nil
}

// GroupDrain is peppervale group drain-member.
type GroupDrain struct {
	member
	Name string `arg:"" help:"The member's name."`
	Off  bool   `help:"Let it take parts again."`
}

// Run is the command.
func (c *GroupDrain) Run(out io.Writer) error {
	on := "on"
	if c.Off {
		on = "off"
	}
	if err := c.ask("LEAVE", c.Name, on); err != nil {
		return err
	}
	if c.Off {
		fmt.Fprintf(out, "%s may take parts again\n", c.Name)
	} else {
		fmt.Fprintf(out, "%s gives its parts away, one at a time; status shows when it has none\n", c.Name)
	}
	return nil
}

// GroupStrike is peppervale group strike.
type GroupStrike struct {
	member
	Name string `arg:"" help:"The member's name."`
}

// Run is the command.
func (c *GroupStrike) Run(out io.Writer) error {
	if err := c.ask("STRIKE", c.Name); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s is struck off\n", c.Name)
	return nil
}
