package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"peppervale/internal/config"
	"peppervale/internal/console/comparison"
	"peppervale/internal/controller"
	"peppervale/internal/invariants"
	"peppervale/internal/server"
	"peppervale/internal/standin"
)

// The test binary is the governors' program too: started with "governor --config FILE" it is one.
func TestMain(m *testing.M) {
	if len(os.Args) == 4 && os.Args[1] == "governor" {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		g, err := config.LoadServer(os.Args[3])
		if err == nil {
			err = server.Serve(ctx, g, server.Outside{}, zerolog.New(os.Stdout).With().Timestamp().Logger())
		}
		if err != nil {
			os.Stderr.WriteString(err.Error())
			os.Exit(1)
		}
		return
	}
	goleak.VerifyTestMain(m)
}

// playDay plays a day of the folder days, shortened and with its steps replaced where the story wants that.
func playDay(t *testing.T, path string, change func(s *Script)) *Report {
	t.Helper()
	s, err := Open(filepath.Join("..", "..", "scenarios", path))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(s)
	}
	r, err := Run(context.Background(), s, Setting{Program: []string{os.Args[0], "governor"}, Folder: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// story plays a short day of the town with these steps and wants every rule kept.
func story(t *testing.T, length float64, governors []string, rate float64, steps ...Step) *Report {
	t.Helper()
	return kept(t, playDay(t, "hall-lost.hcl", func(s *Script) {
		s.Name, s.Length, s.Governors, s.Steps, s.Load.Rate = t.Name(), seconds(length), governors, steps, rate
	}))
}

// kept wants a day to have kept every rule and to end with forwarders bound.
func kept(t *testing.T, r *Report) *Report {
	t.Helper()
	var out bytes.Buffer
	r.Print(&out)
	if r.Broken() || r.Tipped > 0 {
		t.Errorf("a rule broke:\n%s", out.String())
	}
	if r.Channel.Bound == 0 {
		t.Errorf("nobody is bound at the end:\n%s", out.String())
	}
	return r
}

var two = []string{"govan", "partick"}

// Each rogue breaks its own rule and no other, and the break names who, where and when.
func TestTheCheckerCanFail(t *testing.T) {
	for kind, rule := range map[string]string{"empty-table": invariants.Lost, "repeats-anything": invariants.Double, "hides-drains": invariants.Drain,
		"full-to-cold": invariants.Failback, "floods": invariants.Backlog} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			for _, v := range playDay(t, "broken/"+kind+".hcl", nil).Rules {
				if broken := len(v.Breaks) > 0; broken != (v.Rule == rule) {
					t.Errorf("%s: %.2f of the limit, %v", v.Rule, v.Nearest, v.Breaks)
				} else if broken && (!strings.Contains(v.Breaks[0], " s: ") || !strings.Contains(v.Breaks[0], "allowed") && rule != invariants.Double) {
					t.Errorf("%s tells too little: %s", rule, v.Breaks[0])
				}
			}
		})
	}
	t.Run("a forwarder that ignores withdrawals", func(t *testing.T) {
		t.Parallel()
		r := playDay(t, "hall-lost.hcl", func(s *Script) {
			s.Length = seconds(12)
			s.Steps = []Step{{Kind: "disobey", At: 0, Lasts: seconds(12), Part: 0.5, Group: "shuts"}, {Kind: "drain", At: seconds(3), Lasts: seconds(9), Part: 0.4}}
		})
		if v := r.Rules[2]; len(v.Breaks) == 0 {
			t.Errorf("a disobedient forwarder is not seen: %+v", v)
		}
	})
}

func TestDays(t *testing.T) {
	if testing.Short() {
		t.Skip("days take seconds of sockets each")
	}
	for name, do := range map[string]func(t *testing.T){
		"a hall lost with its forwarders and governor, back cold": func(t *testing.T) {
			story(t, 22, two, 100, Step{Kind: "zone_loss", At: seconds(6), Lasts: seconds(5), Zone: "partick"})
		},
		"the only governor is killed under load and knows only its last list": func(t *testing.T) {
			r := story(t, 18, two[:1], 100, Step{Kind: "governor_crash", At: seconds(6), Lasts: seconds(2), Part: 1},
				Step{Kind: "drain", At: seconds(7), Lasts: seconds(8), Part: 0.2})
			if r.Channel.Joins < 80 {
				t.Errorf("%d joins: not everybody came back", r.Channel.Joins)
			}
		},
		"all forty streams break at once, and again": func(t *testing.T) {
			r := story(t, 15, two, 100, Step{Kind: "reconnect", At: seconds(5), Part: 1}, Step{Kind: "reconnect", At: seconds(5.05), Part: 1},
				Step{Kind: "reconnect", At: seconds(8), Part: 1}, Step{Kind: "drain", At: seconds(8), Lasts: seconds(5), Part: 0.2})
			if r.Channel.Bound != 40 || r.Channel.Joins < 120 {
				t.Errorf("%d of 40 bound after %d joins", r.Channel.Bound, r.Channel.Joins)
			}
		},
		"a warm replica of another zone is all there is": func(t *testing.T) {
			story(t, 18, two, 15, Step{Kind: "drain", At: seconds(5), Lasts: seconds(7), Group: "but-one"})
		},
		"the list fails in every way while replicas drain": func(t *testing.T) {
			story(t, 22, two, 100, Step{Kind: "list_down", At: seconds(4), Lasts: seconds(3)}, Step{Kind: "drain", At: seconds(6), Lasts: seconds(9), Part: 0.2},
				Step{Kind: "list_half", At: seconds(8), Lasts: seconds(2)}, Step{Kind: "list_back", At: seconds(11), Lasts: seconds(2)},
				Step{Kind: "list_silent", At: seconds(14), Lasts: seconds(2)}, Step{Kind: "sums_late", At: seconds(5), Lasts: seconds(12), Size: 2})
		},
		"a governor restarts twenty times at random moments": func(t *testing.T) {
			var steps []Step
			chance := standin.NewChance(3, "restarts")
			for at := 4.0; len(steps) < 20; at += chance.Between(0.5, 1.5) {
				steps = append(steps, Step{Kind: []string{"governor_crash", "governor_roll"}[len(steps)%2], At: seconds(at), Lasts: seconds(chance.Between(0.05, 0.4)), Part: 0.5})
			}
			r := story(t, 32, two, 60, steps...)
			if r.Channel.Bound != 40 {
				t.Errorf("%d of 40 bound at the end", r.Channel.Bound)
			}
		},
		"forwarders stand still, or never acknowledge, while replicas drain": func(t *testing.T) {
			story(t, 16, two, 100, Step{Kind: "forwarder_stall", At: seconds(4), Part: 0.2, Size: 1, Number: 4}, Step{Kind: "never_ack", At: seconds(4), Lasts: seconds(8), Part: 0.1},
				Step{Kind: "drain", At: seconds(6), Lasts: seconds(6), Part: 0.2})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			do(t)
		})
	}
}

// The console is driven while a hall is lost and comes back: every page answers, and what it says is what the stand-ins
// did.
func TestTheConsoleThroughAHallLoss(t *testing.T) {
	if testing.Short() {
		t.Skip("a day takes seconds of sockets")
	}
	t.Parallel()
	s, err := Open("../../scenarios/hall-lost.hcl")
	if err != nil {
		t.Fatal(err)
	}
	s.Length, s.Steps = seconds(20), []Step{{Kind: "zone_loss", At: seconds(5), Lasts: seconds(5), Zone: "partick"}}
	lines := make(chan string, 1000)
	driven := make(chan error, 1)
	go func() { driven <- drive(lines) }()
	r, err := Run(context.Background(), s, Setting{Program: []string{os.Args[0], "governor"}, Folder: t.TempDir(),
		Progress: writer(func(b []byte) { lines <- string(b) })})
	close(lines)
	if err != nil {
		t.Fatal(err)
	}
	kept(t, r)
	if err := <-driven; err != nil {
		t.Error(err)
	}
}

// drive reads a day's progress and the console of its first governor, whose hall stays.
func drive(lines chan string) error {
	defer http.DefaultClient.CloseIdleConnections()
	consoles := map[string]string{}
	var both *comparison.Server
	for line := range lines {
		if _, at, found := strings.Cut(line, "console of "); found {
			name, address, _ := strings.Cut(at, ": ")
			consoles[name] = strings.TrimSpace(address)
			if len(consoles) == len(two) {
				var err error
				if both, err = comparison.Listen("127.0.0.1:0", []string{consoles["govan-1"], consoles["partick-2"]}, controller.Clock()); err != nil {
					return err
				}
				defer both.Close()
			}
		}
		if strings.Contains(line, "zone_loss") {
			break
		}
	}
	base := consoles["govan-1"]
	get := func(path string) (int, string) {
		if rest, side := strings.CutPrefix(path, "side by side"); side {
			path = "http://" + both.Addr() + rest
		} else {
			path = base + path
		}
		r, err := http.Get(path)
		if err != nil {
			return 0, err.Error()
		}
		defer r.Body.Close()
		text, _ := io.ReadAll(r.Body)
		return r.StatusCode, string(text)
	}
	// The stand-ins lose five replicas and ten forwarders; five come back cold, after which fifteen serve and five ease in.
	// The governor of the lost hall is shown as it was last known, and as a new life once it is back.
	saw := map[string]bool{}
	life := uint64(0)
	for until := time.Now().Add(14 * time.Second); time.Now().Before(until) && !(saw["lost"] && saw["back"] && saw["governor back"]); time.Sleep(100 * time.Millisecond) {
		for _, path := range []string{"/", "/zones", "/replicas", "/forwarders", "/tables", "/orders?about=partick", "/settings", "/plot/ready.svg",
			"side by side/", "side by side/replicas", "side by side/forwarders"} {
			if status, text := get(path); status != 200 {
				return fmt.Errorf("%s answers %d: %.200s", path, status, text)
			}
		}
		var side struct {
			Body struct {
				Governors []struct {
					Governor string
					Error    string
					Life     uint64
				}
			}
		}
		_, text := get("side by side/?as=json")
		if err := json.Unmarshal([]byte(text), &side); err != nil || len(side.Body.Governors) != 2 {
			return fmt.Errorf("side by side: %v: %.300s", err, text)
		}
		if g := side.Body.Governors[1]; g.Governor == "partick-2" {
			saw["governor lost"] = saw["governor lost"] || g.Error != "" && g.Life > 0
			saw["governor back"] = saw["governor back"] || saw["governor lost"] && g.Error == "" && g.Life > life
			if !saw["governor lost"] {
				life = g.Life
			}
		}
		_, text = get("/replicas?as=json")
		away, easing := strings.Count(text, `"state": "away"`), strings.Count(text, `"state": "easing"`)
		saw["lost"] = saw["lost"] || away == 5
		saw["back"] = saw["back"] || saw["lost"] && away == 0 && easing >= 5
	}
	if !saw["lost"] || !saw["back"] || !saw["governor back"] {
		return fmt.Errorf("of a hall lost and back, cold, with its governor, the consoles show %v", saw)
	}
	return nil
}

func TestScriptsOfTheRepository(t *testing.T) {
	for _, pattern := range []string{"*.hcl", "broken/*.hcl"} {
		files, err := filepath.Glob(filepath.Join("..", "..", "scenarios", pattern))
		if err != nil || len(files) == 0 {
			t.Fatal("no scripts: ", err)
		}
		for _, f := range files {
			if s, err := Open(f); err != nil || s.About == "" {
				t.Errorf("%s: %v", f, err)
			}
		}
	}
}

func TestFaultsOfAScript(t *testing.T) {
	text, err := os.ReadFile("../../scenarios/hall-lost.hcl")
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ from, to, want string }{
		"a kind that is none":       {`"zone_loss"`, `"earthquake"`, `no kind "earthquake"; there are [ageing`},
		"a zone that is none":       {`zone  = "partick"`, `zone  = "leith"`, `"leith" is none of the zones`},
		"a step after the end":      {`"12s"`, `"50s"`, "the day has ended by then"},
		"a governor without a zone": {`["govan", "partick"]`, `["leith"]`, `"leith" is none of the zones`},
		"a town that is not there":  {"lib/town.hcl", "lib/city.hcl", "no such file"},
	} {
		_, err := Parse("../../scenarios/x.hcl", []byte(strings.Replace(string(text), c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A day that is cut off ends all that it started.
func TestADayCutOff(t *testing.T) {
	s, err := Open("../../scenarios/hall-lost.hcl")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.Steps = []Step{{Kind: "reconnect", At: seconds(1), Part: 1}}
	progress := writer(func(b []byte) {
		if bytes.Contains(b, []byte("reconnect")) {
			cancel()
		}
	})
	if _, err := Run(ctx, s, Setting{Program: []string{os.Args[0], "governor"}, Progress: progress}); err == nil || !strings.Contains(err.Error(), "cut off") {
		t.Fatal(err)
	}
}

type writer func([]byte)

func (w writer) Write(b []byte) (int, error) { w(b); return len(b), nil }

// shared plays a short day of the town with three governors that share the fleet out, and wants every rule kept and each forwarder
// bound at the end.
func shared(t *testing.T, length float64, steps ...Step) *Report {
	t.Helper()
	r := kept(t, playDay(t, "takeover.hcl", func(s *Script) {
		s.Name, s.Length, s.Steps, s.Load.Rate = t.Name(), seconds(length), steps, 60
		s.Shared.Settle, s.Shared.Pace = seconds(1), seconds(0.2)
	}))
	if r.Channel.Bound != r.Forwarders {
		t.Errorf("%d of %d forwarders are bound at the end", r.Channel.Bound, r.Forwarders)
	}
	return r
}

// A member of the group is killed under load, and again: others take its forwarders over, and they come home.
func TestAMemberIsKilled(t *testing.T) {
	r := shared(t, 15, Step{Kind: "governor_crash", At: seconds(4), Lasts: seconds(2.5), Part: 0.34, Number: 2, Size: 5})
	if r.Channel.Joins < 60 {
		t.Errorf("%d joins of 40 forwarders: nobody was taken over", r.Channel.Joins)
	}
}

// A member's process stands still for longer than a lease and goes on with what it had in hand: its leases are over, and whatever of
// it still comes, nobody obeys.
func TestAMemberThatStood(t *testing.T) {
	shared(t, 14, Step{Kind: "governor_stall", At: seconds(4), Lasts: seconds(5), Part: 0.34})
}

// The whole group is down: forwarders go on with what they hold, and the group starts again.
func TestTheGroupIsDown(t *testing.T) {
	if r := shared(t, 14, Step{Kind: "governor_crash", At: seconds(4), Lasts: seconds(4), Part: 1}); r.Service < 0.9 {
		t.Errorf("service %.3f", r.Service)
	}
}
