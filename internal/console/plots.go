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
)

const (
	plotWidth     = 12 * vg.Centimeter
	plotHeight    = 5 * vg.Centimeter
	plotLineWidth = 1.2 // points
)

var plotColor = color.RGBA{R: 0x1f, G: 0x6f, B: 0xb4, A: 0xff}

// timeSeries is a quantity that is plotted over the last minutes.
type timeSeries struct {
	title string
	value func(previous, current sample) float64
}

// plots are the time series by file name.
var plots = map[string]timeSeries{
	"joined.svg":   {"proxies connected", connectedProxies},
	"ready.svg":    {"replicas listed as ready", readyReplicas},
	"queue.svg":    {"entries queued", queuedEntries},
	"lines.svg":    {"entries sent a second", entriesPerSample},
	"messages.svg": {"messages sent a second", messagesPerSample},
	"folds.svg":    {"load reports merged a second", mergedReportsPerSample},
}

func connectedProxies(_, current sample) float64 {
	return float64(current.proxies)
}

func readyReplicas(_, current sample) float64 {
	return float64(current.readyReplicas)
}

func queuedEntries(_, current sample) float64 {
	return float64(current.queuedEntries)
}

func entriesPerSample(previous, current sample) float64 {
	return float64(current.entries - previous.entries)
}

func messagesPerSample(previous, current sample) float64 {
	return float64(current.messages - previous.messages)
}

func mergedReportsPerSample(previous, current sample) float64 {
	return float64(current.mergedReports - previous.mergedReports)
}

// overviewPlots are the plots on the overview, in their order.
var overviewPlots = []string{"ready.svg", "joined.svg", "queue.svg", "lines.svg", "messages.svg", "folds.svg"}

// servePlot serves a time series as SVG.
func (s *Server) servePlot(w http.ResponseWriter, name string) {
	series, known := plots[name]
	if !known {
		httpserver.WriteText(w, http.StatusNotFound, "no such plot")
		return
	}
	image, err := drawPlot(series.title, s.plotPoints(series))
	if err != nil {
		httpserver.WriteText(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "image/svg+xml")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(image) // the viewer may have disconnected
}

// plotPoints returns the points of a time series. Their x values are seconds relative to the last sample.
func (s *Server) plotPoints(series timeSeries) plotter.XYs {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) < 2 {
		return nil
	}
	var points plotter.XYs
	last := s.samples[len(s.samples)-1]
	for i := 1; i < len(s.samples); i++ {
		points = append(points, plotter.XY{
			X: toSeconds(s.samples[i].at - last.at),
			Y: series.value(s.samples[i-1], s.samples[i]),
		})
	}
	return points
}

func drawPlot(title string, points plotter.XYs) ([]byte, error) {
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text = "seconds"
	chart.Y.Min = 0
	if len(points) > 0 {
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = plotColor
		line.Width = vg.Points(plotLineWidth)
		chart.Add(line)
	}
	chart.Add(plotter.NewGrid())
	canvas := vgsvg.New(plotWidth, plotHeight)
	chart.Draw(draw.New(canvas))
	var image bytes.Buffer
	if _, err := canvas.WriteTo(&image); err != nil {
		return nil, err
	}
	return image.Bytes(), nil
}
