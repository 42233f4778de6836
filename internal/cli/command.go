// Package command is what the command line offers: a type for each command, with a Run that calls one room.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/benchmark"
	"peppervale/internal/config"
	"peppervale/internal/console/comparison"
	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/scenario"
	"peppervale/internal/server"
)

// ErrInput is input that cannot be used: exit status 2. ErrBroken is a rule that broke: exit status 1.
var (
	ErrInput  = errors.New("input")
	ErrBroken = errors.New("a rule broke")
)

// Line is the whole command line.
type Line struct {
	Governor Governor `cmd:"" help:"Run a governor until a signal ends it."`
	Platform Platform `cmd:"" help:"Run a governor on the operators' platform, by its file (LB_CONFIG)."`
	Check    Check    `cmd:"" help:"Read a governor's or a day's file, tell each fault with its place, start nothing."`
	Group    Group    `cmd:"" help:"Show and steer governors that share the fleet out."`
	Console  Console  `cmd:"" help:"Show several governors side by side, from their own consoles."`
	Day      Day      `cmd:"" help:"Play scripted days on loopback sockets."`
	Stand    Stand    `cmd:"" help:"Run one stand-in, to try a governor by hand."`
	Measure  Measure  `cmd:"" help:"Time parts of the program on this machine."`
	Version  Version  `cmd:"" help:"Tell the version."`
}

// Governor is peppervale governor.
type Governor struct {
	Config string `help:"The governor's file, HCL." required:"" type:"existingfile"`
	Pretty bool   `help:"Log for a terminal instead of JSON lines."`
}

// Run is the command.
func (c *Governor) Run(ctx context.Context, out io.Writer) error {
	g, err := config.LoadServer(c.Config)
	if err != nil {
		return fmt.Errorf("%w:\n%w", ErrInput, err)
	}
	if err := controller.Check(g.Balancer); err != nil {
		return fmt.Errorf("%w: %w", ErrInput, err)
	}
	if c.Pretty {
		out = zerolog.ConsoleWriter{Out: out}
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log, threshold, err := server.NewLogger(out, g.LogLevel)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInput, err)
	}
	reload := reloads(ctx)
	return server.Serve(ctx, g, server.Outside{Reload: reload, LogLevel: threshold,
		LoadConfig: func() (*config.Server, error) { return config.LoadServer(c.Config) }}, log)
}

// reloads passes SIGHUP on until the context ends: one that comes while another waits adds nothing, as the file is then read as it is.
// The signal stays caught to the end of the process: with its default action back, one that comes during the shutdown would kill it.
func reloads(ctx context.Context) <-chan struct{} {
	hangup, reload := make(chan os.Signal, 1), make(chan struct{}, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				select {
				case reload <- struct{}{}:
				default:
				}
			}
		}
	}()
	return reload
}

// Console is peppervale console.
type Console struct {
	Governors []string `help:"Addresses of the governors' consoles, host:port or URL." required:""`
	Listen    string   `help:"Where to serve." default:"127.0.0.1:7790"`
}

// Run is the command.
func (c *Console) Run(ctx context.Context, out io.Writer) error {
	if len(c.Governors) > 64 {
		return fmt.Errorf("%w: %d governors; 64 are shown at most", ErrInput, len(c.Governors))
	}
	for _, g := range c.Governors {
		if u, err := url.Parse(g); !strings.Contains(g, "://") && !strings.Contains(g, ":") || strings.Contains(g, "://") && (err != nil || u.Host == "") {
			return fmt.Errorf("%w: --governors: %q is no host:port and no URL, as 127.0.0.1:7780 or http://127.0.0.1:7780", ErrInput, g)
		}
	}
	pages, err := comparison.Listen(c.Listen, c.Governors, controller.Clock())
	if err != nil {
		return err
	}
	defer pages.Close()
	fmt.Fprintf(out, "console of %d governors: http://%s\n", len(c.Governors), pages.Addr())
	<-ctx.Done()
	return nil
}

// Check is peppervale check.
type Check struct {
	File string `arg:"" help:"A governor's file or a day's." type:"existingfile"`
}

// Run is the command.
func (c *Check) Run(out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInput, err)
	}
	kind := "a governor's file"
	if isDay(text) {
		kind = "a day"
		_, err = scenario.Open(c.File)
	} else {
		_, err = config.LoadServer(c.File)
	}
	if err != nil {
		return fmt.Errorf("%w:\n%w", ErrInput, err)
	}
	fmt.Fprintf(out, "%s: %s, no fault found\n", c.File, kind)
	return nil
}

func isDay(text []byte) bool {
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "day ") {
			return true
		}
	}
	return false
}

// Day is peppervale day.
type Day struct {
	Run  DayRun    `cmd:"" help:"Play a day and judge the rules; exit status 1 if one broke."`
	List DayList   `cmd:"" help:"List the scripts of a folder."`
	From FromBench `cmd:"" name:"from-bench" help:"Turn a day drawn by the bench into a script, scaled to this machine."`
}

// DayRun is peppervale day run.
type DayRun struct {
	File   string `arg:"" help:"The day's script." type:"existingfile"`
	JSON   bool   `name:"json" help:"Write the report as JSON."`
	Folder string `help:"Keep the governors' files and logs in this folder." type:"path"`
	Quiet  bool   `help:"Tell nothing on the way."`
}

// Run is the command.
func (c *DayRun) Run(ctx context.Context, out io.Writer) error {
	s, err := scenario.Open(c.File)
	if err != nil {
		return fmt.Errorf("%w:\n%w", ErrInput, err)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	set := scenario.Setting{Program: []string{self, "governor"}, Folder: c.Folder}
	if !c.Quiet {
		set.Progress = os.Stderr
	}
	r, err := scenario.Run(ctx, s, set)
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(r); err != nil {
			return err
		}
	} else {
		r.Print(out)
	}
	if r.Broken() {
		return ErrBroken
	}
	return nil
}

// FromBench is peppervale day from-bench.
type FromBench struct {
	File       string `arg:"" help:"The bench's day, JSON." type:"existingfile"`
	Out        string `short:"o" required:"" help:"The script to write." type:"path"`
	Forwarders int    `help:"Forwarders at most; the rest shrinks alike." default:"60"`
}

// Run is the command.
func (c *FromBench) Run(out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInput, err)
	}
	script, notes, err := scenario.FromBench(text, c.Forwarders)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInput, c.File, err)
	}
	if _, err := scenario.Parse(c.Out, script); err != nil {
		return fmt.Errorf("%w: the day cannot be carried over:\n%w", ErrInput, err)
	}
	if err := os.WriteFile(c.Out, script, 0o644); err != nil {
		return err
	}
	for _, n := range notes {
		fmt.Fprintln(out, "note:", n)
	}
	return nil
}

// DayList is peppervale day list.
type DayList struct {
	Folder string `arg:"" optional:"" default:"scenarios" help:"Where the scripts are." type:"path"`
}

// Run is the command.
func (c *DayList) Run(out io.Writer) error {
	files, err := filepath.Glob(filepath.Join(c.Folder, "*.hcl"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("%w: no day scripts (*.hcl) in %s", ErrInput, c.Folder)
	}
	for _, file := range files {
		s, err := scenario.Open(file)
		if err != nil {
			fmt.Fprintf(out, "%-32s cannot be used: %v\n", filepath.Base(file), err)
			continue
		}
		fmt.Fprintf(out, "%-32s %3.0f s  %s\n", filepath.Base(file), float64(s.Length)/1e6, s.About)
	}
	return nil
}

// Measure is peppervale measure.
type Measure struct {
	Channel  MeasureChannel  `cmd:"" help:"Time the channel from Publish to the last receipt, beside plain sockets."`
	Restart  MeasureRestart  `cmd:"" help:"Restart a governor under its forwarders, in four ways."`
	Takeover MeasureTakeover `cmd:"" help:"Kill one of three governors over and over, with the fleet shared out and not."`
	Quiet    MeasureQuiet    `cmd:"" help:"Count the messages of a group in which nothing happens."`
	Storm    MeasureStorm    `cmd:"" help:"Let many forwarders dial at once, with and without admission."`
}

// MeasureRestart is peppervale measure restart.
type MeasureRestart struct {
	Forwarders int `help:"How many." default:"400"`
	Rounds     int `help:"Restarts of each way." default:"5"`
}

// Run is the command.
func (c *MeasureRestart) Run(ctx context.Context, out io.Writer) error {
	if c.Forwarders < 1 || c.Forwarders > 5000 || c.Rounds < 1 || c.Rounds > 1000 {
		return fmt.Errorf("%w: 1 to 5000 forwarders and 1 to 1000 restarts are wanted", ErrInput)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var all []*benchmark.RestartFigures
	for _, way := range benchmark.RestartWays {
		f, err := benchmark.Restart(ctx, []string{self}, way, c.Forwarders, c.Rounds)
		if err != nil {
			return err
		}
		all = append(all, f)
	}
	benchmark.PrintRestarts(out, all)
	return nil
}

// MeasureTakeover is peppervale measure takeover.
type MeasureTakeover struct {
	Forwarders int           `help:"How many." default:"400"`
	Rounds     int           `help:"Kills." default:"20"`
	Span       time.Duration `help:"Of a lease." default:"2s"`
	Seed       uint64        `help:"Of the moments and of who is killed." default:"1"`
	Only       string        `help:"Governors that share the fleet, that share nothing, or both." enum:"shared,alone,both" default:"both"`
}

// Run is the command.
func (c *MeasureTakeover) Run(ctx context.Context, out io.Writer) error {
	if c.Forwarders < 3 || c.Forwarders > 5000 || c.Rounds < 1 || c.Rounds > 1000 || c.Span < 300*time.Millisecond || c.Span > time.Minute {
		return fmt.Errorf("%w: 3 to 5000 forwarders, 1 to 1000 kills and a lease of 300ms to 1m are wanted", ErrInput)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var all []*benchmark.TakeoverFigures
	for _, shared := range []bool{true, false} {
		if c.Only == "shared" && !shared || c.Only == "alone" && shared {
			continue
		}
		f, err := benchmark.Takeover(ctx, []string{self}, c.Forwarders, c.Rounds, model.Microseconds(c.Span/time.Microsecond), shared, c.Seed, os.Stderr)
		if err != nil {
			return err
		}
		all = append(all, f)
	}
	benchmark.PrintTakeovers(out, all)
	return nil
}

// MeasureQuiet is peppervale measure quiet.
type MeasureQuiet struct {
	Members int           `help:"How many." default:"3"`
	Parts   int           `help:"Of each member's zone." default:"4"`
	Span    time.Duration `help:"Of a lease." default:"2s"`
	While   time.Duration `help:"How long to count." default:"20s"`
}

// Run is the command.
func (c *MeasureQuiet) Run(ctx context.Context, out io.Writer) error {
	if c.Members < 1 || c.Members > 9 || c.Parts < 1 || c.Parts > 256 || c.Span < 300*time.Millisecond || c.While < time.Second || c.While > time.Hour {
		return fmt.Errorf("%w: 1 to 9 members, 1 to 256 parts, a lease of 300ms at least and 1s to 1h are wanted", ErrInput)
	}
	f, err := benchmark.Quiet(ctx, c.Members, c.Parts, c.Span, c.While)
	if err != nil {
		return err
	}
	benchmark.PrintQuiet(out, f)
	return nil
}

// MeasureStorm is peppervale measure storm.
type MeasureStorm struct {
	Forwarders int       `help:"How many." default:"2000"`
	Rates      []float64 `help:"Joins a second let in; 0: all." default:"0,200,500"`
}

// Run is the command.
func (c *MeasureStorm) Run(out io.Writer) error {
	if c.Forwarders < 1 || c.Forwarders > 10_000 {
		return fmt.Errorf("%w: 1 to 10000 forwarders are wanted", ErrInput)
	}
	var all []*benchmark.StormFigures
	for _, rate := range c.Rates {
		f, err := benchmark.Storm(c.Forwarders, rate)
		if err != nil {
			return err
		}
		all = append(all, f)
	}
	benchmark.PrintStorms(out, all)
	return nil
}

// MeasureChannel is peppervale measure channel.
type MeasureChannel struct {
	Forwarders []int `help:"Sizes." default:"40,400,2000"`
	Lines      int   `help:"Lines changed in a round." default:"20"`
	Rounds     int   `help:"Rounds." default:"50"`
}

// Run is the command.
func (c *MeasureChannel) Run(out io.Writer) error {
	var all []*benchmark.ChannelFigures
	for _, n := range c.Forwarders {
		if n < 1 || n > 10_000 || c.Lines < 1 || c.Lines > 10_000 || c.Rounds < 1 {
			return fmt.Errorf("%w: 1 to 10000 forwarders and lines, and a round, are wanted", ErrInput)
		}
		f, err := benchmark.Channel(n, c.Lines, c.Rounds)
		if err != nil {
			return err
		}
		all = append(all, f)
	}
	benchmark.Print(out, all)
	return nil
}

// Version is peppervale version.
type Version struct{}

// Run is the command.
func (Version) Run(out io.Writer) error {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(out, "peppervale 0.1.0-dev, revision %s\n", revision)
	return err
}
