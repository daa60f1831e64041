package sidecar

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/connection/ingress"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
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
	// closeMargin is the part of the grace period reserved for closing listeners and
	// connections.
	closeMargin = 500 * time.Millisecond
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
	n.awaitIdle(start)
	n.record.remove(context.Background())
	n.cancel()
	n.tasks.Wait()
	n.close()
	n.log.Emit(event.NodeStopped, log.Fields{"host": n.settings.Name, "took": n.clock.Now().Sub(start).String()})
}

// awaitIdle waits until no request has been running for idlePeriod and the callers have
// closed their connections, or until the grace period is nearly over.
func (n *Node) awaitIdle(start time.Time) {
	idleSince := n.clock.Now()
	idleClosed, handedOver := false, false
	for {
		now := n.clock.Now()
		grace := time.Duration(n.grace.Load())
		n.entryGate.Leave(start.Add(grace - closeMargin))
		n.executionGate.Leave(start.Add(grace - closeMargin))
		accepting := now.Sub(start) < min(lameDuckPeriod, grace/2)
		if !handedOver && (now.Sub(start) >= min(handoverPeriod, grace/4) || n.backend.Backend().State != fleet.Serving) {
			n.record.markLeaving()
			n.notifyPeers()
			handedOver = true
		}
		if !idleClosed && !accepting {
			n.callers.CloseIdle()
			idleClosed = true
		}
		executing, replying := n.admission.Load().Running, n.mesh.Replying()
		if n.callers.Active()+executing+replying > 0 {
			idleSince = now
		}
		lingering := n.callers.Lingering()
		if !accepting && now.Sub(idleSince) >= idlePeriod && lingering == 0 {
			return
		}
		if now.Sub(start) >= grace-closeMargin {
			p := n.callers.Progress()
			n.log.Emit(event.RequestsUnfinished, log.Fields{
				"arriving": p.Arriving, "handled": p.Handled, "waiting": p.Waiting, "sending": p.Sending,
				"executing": executing, "replying": replying, "lingering": lingering,
			})
			return
		}
		time.Sleep(idlePollInterval)
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
// each reload signal, and within settingsPollInterval without one.
func Run(ctx context.Context, s Settings, d Deps, reload <-chan os.Signal, read func() (Settings, error)) error {
	n, err := Start(s, d)
	if err != nil {
		d.Log.Emit(event.StartFailed, log.Fields{"error": err.Error()})
		return err
	}
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	current := s
	for {
		select {
		case <-ctx.Done():
			n.Shutdown()
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
