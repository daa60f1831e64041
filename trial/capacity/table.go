// Package capacity measures how state, messages, bytes and processor time of the
// decision packages grow with the size of a deployment. It runs the production
// code in this process over fake networks; docs/CAPACITY.md works with its slopes.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// A Point is one measured value at one size.
type Point struct {
	// Size is the number of things of which the value is a function.
	Size float64
	// Value is what was measured.
	Value float64
}

// A Series is one quantity measured at several sizes.
type Series struct {
	// Name says what was measured, with its unit.
	Name string
	// Per names what Size counts.
	Per string
	// Points are the measurements in the order of sizes.
	Points []Point
}

// Fit returns the least-squares line through the points.
func (s Series) Fit() (intercept, slope float64) {
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range s.Points {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	count := float64(len(s.Points))
	spread := count*sumXX - sumX*sumX
	if spread == 0 {
		return sumY / max(count, 1), 0
	}
	slope = (count*sumXY - sumX*sumY) / spread
	return (sumY - slope*sumX) / count, slope
}

// WriteTable writes the series as a Markdown table: one row per series, the
// measured values, and the line through them.
func WriteTable(w io.Writer, title string, series []Series) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\n### %s\n\n| quantity | per | measured (size: value) | at zero | slope |\n|---|---|---|---|---|\n", title)
	for _, s := range series {
		values := make([]string, 0, len(s.Points))
		for _, p := range s.Points {
			values = append(values, fmt.Sprintf("%s: %s", number(p.Size), number(p.Value)))
		}
		intercept, slope := s.Fit()
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", s.Name, s.Per,
			strings.Join(values, ", "), number(intercept), number(slope))
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// number formats a value with four significant digits.
func number(value float64) string { return fmt.Sprintf("%.4g", value) }

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// allocations returns the bytes allocated since the process started.
func allocations() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.TotalAlloc)
}

// heap returns the live heap in bytes after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
