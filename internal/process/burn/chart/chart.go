// Package chart draws the burn report as an image. It is separate from package burn to
// keep the drawing library out of the daemon.
package chart

import (
	"fmt"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/bilberryvane/bilberryvane/internal/process/burn"
)

// The dimensions of the image.
const (
	imageWidth  = 24 * vg.Centimeter
	lineHeight  = 1.1 * vg.Centimeter
	frameHeight = 3 * vg.Centimeter
	barWidth    = 0.35 * vg.Centimeter
)

var (
	shortColour = color.RGBA{R: 204, G: 85, A: 255}
	longColour  = color.RGBA{R: 51, G: 102, B: 153, A: 255}
)

// Write draws the burn rates of a report as a PNG image, with one bar for the short and
// one for the long window of each class and client account.
func Write(w io.Writer, r burn.Report) error {
	p := plot.New()
	p.Title.Text = "Burn rate by class and client account (1 = uses exactly the error budget)"
	p.X.Min = 0
	var short, long plotter.Values
	var names []string
	for i := len(r.Lines) - 1; i >= 0; i-- {
		l := r.Lines[i]
		short = append(short, l.Short.BurnRate())
		long = append(long, l.Long.BurnRate())
		names = append(names, l.Class+" "+l.Account)
	}
	if len(names) > 0 {
		if err := addBars(p, "5 minutes", short, shortColour, barWidth/2); err != nil {
			return err
		}
		if err := addBars(p, "1 hour", long, longColour, -barWidth/2); err != nil {
			return err
		}
		p.NominalY(names...)
	}
	picture, err := p.WriterTo(imageWidth, frameHeight+lineHeight*vg.Length(len(names)), "png")
	if err != nil {
		return fmt.Errorf("draw burn report: %w", err)
	}
	if _, err := picture.WriteTo(w); err != nil {
		return fmt.Errorf("write burn image: %w", err)
	}
	return nil
}

func addBars(p *plot.Plot, name string, values plotter.Values, colour color.Color, offset vg.Length) error {
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return fmt.Errorf("draw bars: %w", err)
	}
	bars.Horizontal = true
	bars.Color = colour
	bars.LineStyle.Width = 0
	bars.Offset = offset
	p.Add(bars)
	p.Legend.Add(name, bars)
	p.Legend.Top = true
	return nil
}
