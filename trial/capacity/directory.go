package capacity

import (
	"fmt"
	"io"
	"math/rand"
	"time"

	"github.com/bilberryvane/bilberryvane/member"
)

// directoryRounds is how often a look-up is repeated.
const directoryRounds = 200

// Directory measures the look-ups in a group's directory by its size: members of
// the own zone, with two summaries of other zones for each member.
func Directory(w io.Writer) error {
	service := Series{Name: "processor nanoseconds to list the nodes of one service", Per: "member"}
	all := Series{Name: "processor nanoseconds to list all nodes", Per: "member"}
	for _, size := range zoneSizes {
		g, now := newDirectory(size)
		used := processorTime()
		for i := range directoryRounds * servicesOfZone {
			g.Nodes(serviceName(i%servicesOfZone), now)
		}
		perService := (processorTime() - used) / (directoryRounds * servicesOfZone)
		used = processorTime()
		for range directoryRounds {
			g.Directory(now)
		}
		perList := (processorTime() - used) / directoryRounds
		service.Points = append(service.Points, Point{Size: float64(size), Value: float64(perService)})
		all.Points = append(all.Points, Point{Size: float64(size), Value: float64(perList)})
	}
	if err := WriteTable(w, "Directory by members of the zone", []Series{service, all}); err != nil {
		return fmt.Errorf("directory: %w", err)
	}
	return nil
}

// newDirectory returns a group that holds members and summaries.
func newDirectory(size int) (*member.Group, time.Time) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := member.New("zone-1", newMember(0), nil, now, rand.New(rand.NewSource(membershipSeed)))
	for i := range size {
		receive(g, member.Message{Kind: member.Entries, Zone: "zone-1", From: newMember(1), Members: []member.Member{newMember(i + 1)}}, now)
	}
	for i := range 2 * size {
		receive(g, member.Message{Kind: member.Entries, Zone: "zone-2", From: newMember(1), Rumours: []member.Rumour{newSummaryRumour(i)}}, now)
	}
	return g, now
}
