package console

import (
	"bytes"
	"image/color"
	"net/http"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"peppervale/internal/console/httpserver"
	"peppervale/internal/model"
)

// plots are the time lines, by name.
var plots = map[string]struct {
	title string
	of    func(before, now sample) float64
}{
	"joined.svg":   {"forwarders joined", func(_, n sample) float64 { return float64(n.Joined) }},
	"ready.svg":    {"replicas listed as ready", func(_, n sample) float64 { return float64(n.Ready) }},
	"queue.svg":    {"lines that wait", func(_, n sample) float64 { return float64(n.Queue) }},
	"lines.svg":    {"lines sent a second", func(b, n sample) float64 { return float64(n.Lines - b.Lines) }},
	"messages.svg": {"messages a second", func(b, n sample) float64 { return float64(n.Messages - b.Messages) }},
	"folds.svg":    {"sums folded a second", func(b, n sample) float64 { return float64(n.SumFolds - b.SumFolds) }},
}

// plot draws a time line of the last minutes as SVG.
func (s *Server) plot(w http.ResponseWriter, name string) {
	kind, known := plots[name]
	if !known {
		httpserver.WriteText(w, http.StatusNotFound, "no such plot")
		return
	}
	s.mu.Lock()
	var points plotter.XYs
	if n := len(s.history); n > 1 {
		last := s.history[n-1].At
		for i := 1; i < n; i++ {
			points = append(points, plotter.XY{X: float64(s.history[i].At-last) / float64(model.Second), Y: kind.of(s.history[i-1], s.history[i])})
		}
	}
	s.mu.Unlock()
	p := plot.New()
	p.Title.Text, p.X.Label.Text = kind.title, "seconds"
	p.Y.Min = 0
	if len(points) > 0 {
		line, err := plotter.NewLine(points)
		if err != nil {
			httpserver.WriteText(w, http.StatusInternalServerError, err.Error())
			return
		}
		line.Color = color.RGBA{R: 0x1f, G: 0x6f, B: 0xb4, A: 0xff}
		line.Width = vg.Points(1.2)
		p.Add(line)
	}
	p.Add(plotter.NewGrid())
	canvas := vgsvg.New(12*vg.Centimeter, 5*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		httpserver.WriteText(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "image/svg+xml")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(out.Bytes())
}

// Plots lists the time lines of the overview.
func (Instance) Plots() []string {
	return []string{"ready.svg", "joined.svg", "queue.svg", "lines.svg", "messages.svg", "folds.svg"}
}
