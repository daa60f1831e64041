package capacity

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/routing"
)

// Parameters of the measurements of decisions for each request.
const (
	decisionRounds     = 20000
	accountsInQueue    = 8
	importanceLevels   = 3
	decisionTarget     = time.Second
	decisionDeadline   = time.Hour
	decisionSlots      = 50
	decisionServiceFor = 5 * time.Millisecond
)

// Decisions measures packages admission and routing, which decide for each request.
func Decisions(w io.Writer) error {
	queue := []Series{
		{Name: "processor nanoseconds to admit one request and end another", Per: "waiting request"},
		{Name: "heap bytes of the queue", Per: "waiting request"},
	}
	for _, waiting := range []int{64, 256, 1024} {
		nanoseconds, bytes := measureAdmission(waiting)
		queue[0].Points = append(queue[0].Points, Point{Size: float64(waiting), Value: nanoseconds})
		queue[1].Points = append(queue[1].Points, Point{Size: float64(waiting), Value: bytes})
	}
	if err := WriteTable(w, "Admission at an executing node", queue); err != nil {
		return err
	}
	nodes := []Series{
		{Name: "processor nanoseconds to choose a node and learn from its answer", Per: "node of the service"},
		{Name: "processor nanoseconds to take over the nodes of a service", Per: "node of the service"},
		{Name: "heap bytes for one service", Per: "node of the service"},
	}
	for _, count := range []int{10, 40, 160} {
		values, err := measureRouting(count)
		if err != nil {
			return err
		}
		for i, v := range values {
			nodes[i].Points = append(nodes[i].Points, Point{Size: float64(count), Value: v})
		}
	}
	return WriteTable(w, "Routing at an entry node", nodes)
}

// measureAdmission returns the time of an admission beside an ending, and the heap
// that a queue of the given length takes.
func measureAdmission(waiting int) (nanoseconds, bytes float64) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	before := heap()
	c := admission.New(admission.Capacity{Slots: decisionSlots}, admission.WithQueueLength(2*waiting))
	id := uint64(0)
	var running []uint64
	admit := func() {
		id++
		a := c.Admit(now, admission.Request{
			ID: id, Account: fmt.Sprintf("account-%06d", id%accountsInQueue), Importance: 1 + int(id%importanceLevels),
			Target: decisionTarget, Deadline: now.Add(decisionDeadline),
		})
		for _, r := range a.Runs {
			running = append(running, r.ID)
		}
	}
	for range waiting + decisionSlots {
		admit()
	}
	bytes = heap() - before
	used := processorTime()
	for range decisionRounds {
		now = now.Add(decisionServiceFor / decisionSlots)
		admit()
		if len(running) == 0 {
			continue
		}
		a := c.Done(now, running[0], admission.Completion{SelfTime: decisionServiceFor})
		running = running[1:]
		for _, r := range a.Runs {
			running = append(running, r.ID)
		}
	}
	used = processorTime() - used
	runtime.KeepAlive(c)
	return float64(used.Nanoseconds()) / decisionRounds, bytes
}

// measureRouting returns the values of routing for a service of some nodes.
func measureRouting(count int) ([]float64, error) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	nodes := make([]routing.Node, 0, count)
	for i := range count {
		nodes = append(nodes, routing.Node{Host: fmt.Sprintf("host-%05d", i), Zone: fmt.Sprintf("zone-%d", i%9), Incarnation: incarnationStart})
	}
	before := heap()
	r := routing.NewRouter("host-99999", "zone-1", rand.New(rand.NewPCG(membershipSeed, membershipSeed)))
	r.SetNodes(now, nodes)
	bytes := heap() - before
	used := processorTime()
	for range decisionRounds {
		now = now.Add(time.Millisecond)
		n, err := r.Choose(now, 1, nil)
		if err != nil {
			return nil, fmt.Errorf("choose a node: %w", err)
		}
		r.Done(now, n.Host, routing.Result{Latency: decisionServiceFor})
	}
	choose := processorTime() - used
	const renewals = 500
	used = processorTime()
	for range renewals {
		r.SetNodes(now, nodes)
	}
	renew := processorTime() - used
	runtime.KeepAlive(r)
	return []float64{
		float64(choose.Nanoseconds()) / decisionRounds,
		float64(renew.Nanoseconds()) / renewals, bytes,
	}, nil
}
