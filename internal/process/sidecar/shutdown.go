package sidecar

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/connection/ingress"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

const (
	// lameDuckPeriod is how long a leaving node still accepts new requests, at most half of
	// the grace period: what it accepts needs time to end. Callers stop sending only after
	// two failed readiness checks, which are a second apart.
	lameDuckPeriod = 2500 * time.Millisecond
	// handoverPeriod is how long other nodes still send requests to the backend server of a
	// leaving node, at most a quarter of the grace period. It keeps running, and the node
	// has to stay for lameDuckPeriod anyway.
	handoverPeriod = time.Second
	// idlePeriod is the time without running requests that ends the shutdown once the node
	// accepts none.
	idlePeriod = 200 * time.Millisecond
	// cancelMargin is the time before the end of the grace period at which callers' requests
	// that are still running are cancelled, at most a sixth of the grace period. Until
	// closeMargin before the end, their answers and those behind them are sent.
	cancelMargin = 500 * time.Millisecond
	// closeMargin is the part of the grace period reserved for closing listeners and
	// connections, at most two fifths of cancelMargin.
	closeMargin = 200 * time.Millisecond
	// leavingRetryAfter is the retry delay of a request that was cancelled before it ran.
	leavingRetryAfter = 250 * time.Millisecond
	// idlePollInterval is how often a leaving node checks for running requests.
	idlePollInterval = 20 * time.Millisecond
)

// Shutdown stops accepting new callers, notifies other nodes that the node leaves, waits
// for requests in flight and stops the node within the grace period of the settings.
func (n *Node) Shutdown() {
	start := n.clock.Now()
	n.log.Emit(event.NodeLeaving, log.Fields{"host": n.settings.Name})
	n.leaving.Store(true)
	n.callers.Drain()
	idle := n.awaitIdle(start)
	_, closeAt := shutdownTimes(start, time.Duration(n.grace.Load()))
	n.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeAt.Sub(n.clock.Now()))
		defer cancel()
		n.record.remove(ctx)
	})
	if !idle {
		n.cancelRequests()
		n.awaitAnswers(start)
	}
	n.cancel()
	n.tasks.Wait()
	n.close()
	n.log.Emit(event.NodeStopped, log.Fields{"host": n.settings.Name, "took": n.clock.Now().Sub(start).String()})
}

// awaitIdle waits until no request has been running for idlePeriod and the callers have
// closed their connections, or until it is time to cancel the requests that are running. It
// reports whether none was.
func (n *Node) awaitIdle(start time.Time) bool {
	idleSince := n.clock.Now()
	idleClosed, handedOver := false, false
	for {
		now := n.clock.Now()
		grace := time.Duration(n.grace.Load())
		cancelAt, _ := shutdownTimes(start, grace)
		n.entryGate.Leave(cancelAt)
		n.executionGate.Leave(cancelAt)
		accepting := now.Sub(start) < min(lameDuckPeriod, grace/2)
		if !handedOver && (now.Sub(start) >= min(handoverPeriod, grace/4) || n.backend.Backend().State != fleet.Serving) {
			n.leaveRates()
			n.record.markLeaving()
			n.notifyPeers()
			handedOver = true
		}
		if !idleClosed && !accepting {
			n.callers.CloseIdle()
			idleClosed = true
		}
		if n.busy() {
			idleSince = now
		}
		if !accepting && now.Sub(idleSince) >= idlePeriod && n.callers.Lingering() == 0 {
			return true
		}
		if !now.Before(cancelAt) {
			return false
		}
		time.Sleep(idlePollInterval)
	}
}

// leaveRates gives up the parts of the rates, before the other hosts learn that they may use
// them. If all hosts leave, nobody does.
func (n *Node) leaveRates() {
	stays := func(h fleet.Host) bool { return h.Name != n.settings.Name && !h.Leaving && n.mesh.Connected(h.Name) }
	if slices.ContainsFunc(n.directory.Hosts(), stays) {
		n.quota.Leave()
	}
}

// cancelRequests cancels the callers' requests that are still running. Each is answered with
// what is known of its outcome, so that the answers behind it can be sent too.
func (n *Node) cancelRequests() {
	if n.callers.Active() > 0 {
		n.log.Emit(event.RequestsCancelled, n.unfinished())
	}
	n.callers.CancelRequests(refusal.New(refusal.Leaving).WithRetryAfter(leavingRetryAfter))
}

// awaitAnswers waits until all answers are sent and the callers have closed their connections,
// or until the node has to close them.
func (n *Node) awaitAnswers(start time.Time) {
	_, closeAt := shutdownTimes(start, time.Duration(n.grace.Load()))
	for n.busy() || n.callers.Lingering() > 0 {
		if !n.clock.Now().Before(closeAt) {
			n.log.Emit(event.RequestsUnfinished, n.unfinished())
			return
		}
		time.Sleep(idlePollInterval)
	}
}

// shutdownTimes returns when a node that got its termination signal at start cancels the
// requests that are running, and when it closes all connections.
func shutdownTimes(start time.Time, grace time.Duration) (cancelAt, closeAt time.Time) {
	cancelled := min(cancelMargin, grace/6)
	closed := min(closeMargin, cancelled*2/5)
	return start.Add(grace - cancelled), start.Add(grace - closed)
}

// busy reports whether callers' requests, requests of other nodes or replies to them are
// unfinished.
func (n *Node) busy() bool {
	return n.callers.Active()+n.admission.Load().Running+n.mesh.Replying() > 0
}

// unfinished returns what a shutdown waits for, as the fields of an event.
func (n *Node) unfinished() log.Fields {
	p := n.callers.Progress()
	return log.Fields{
		"arriving": p.Arriving, "handled": p.Handled, "waiting": p.Waiting, "sending": p.Sending,
		"executing": n.admission.Load().Running, "replying": n.mesh.Replying(), "lingering": n.callers.Lingering(),
	}
}

// close closes all open servers and the mesh.
func (n *Node) close() {
	for _, s := range []*ingress.Server{n.callers, n.announcements, n.readiness, n.metrics} {
		if s != nil {
			s.Close()
		}
	}
	if n.mesh != nil {
		n.mesh.Close()
	}
}

// settingsPollInterval is the time between two reads of the settings, which can change
// without a signal.
const settingsPollInterval = 2 * time.Second

// Run runs a node until ctx is done, then shuts it down. It applies changed settings on
// each reload signal, and within settingsPollInterval without one, also during the shutdown.
func Run(ctx context.Context, s Settings, d Deps, reload <-chan os.Signal, read func() (Settings, error)) error {
	n, err := Start(s, d)
	if err != nil {
		d.Log.Emit(event.StartFailed, log.Fields{"error": err.Error()})
		return err
	}
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	stopping, stopped := ctx.Done(), make(chan struct{})
	current := s
	for {
		select {
		case <-stopping:
			stopping = nil
			go func() {
				defer close(stopped)
				n.Shutdown()
			}()
			continue
		case <-stopped:
			return nil
		case <-reload:
		case <-poll.C:
			// Unreadable settings may be half written, so they are not reported here. An
			// explicit reload reports the error.
			if changed, err := read(); err != nil || changed == current {
				continue
			}
		}
		current = n.reload(read, current)
	}
}

// reload applies the settings that can change at run time and returns the new
// settings. If they can't be read, it returns the current ones.
func (n *Node) reload(read func() (Settings, error), current Settings) Settings {
	s, err := read()
	if err != nil {
		n.log.Emit(event.SettingsUnread, log.Fields{"error": err.Error()})
		return current
	}
	n.grace.Store(int64(s.Grace))
	n.backend.SetDrainTime(s.Drain)
	fixed := s
	fixed.Grace, fixed.Drain = n.settings.Grace, n.settings.Drain
	n.log.Emit(event.SettingsReloaded, log.Fields{
		"grace": s.Grace.String(), "drain": s.Drain.String(), "needs-restart": fixed != n.settings,
	})
	return s
}
