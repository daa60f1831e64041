package execute

import (
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/routing"
)

// mergePressure returns the pressure of the bottleneck service: the node's own service
// with its load, or one of the services called by it.
func mergePressure(load exchange.Load, service string, children []exchange.Pressure) exchange.Pressure {
	bottleneck := routing.Pressure{
		Service:            service,
		AdmittedImportance: load.AdmittedImportance,
		QueueDelay:         load.QueueDelay,
		FreeSlots:          load.FreeSlots,
	}
	shed := false
	for _, p := range children {
		shed = shed || p.Shed
		bottleneck = bottleneck.Merge(routing.Pressure{
			Service:            p.Service,
			AdmittedImportance: p.AdmittedImportance,
			QueueDelay:         p.QueueDelay,
			FreeSlots:          p.FreeSlots,
		})
	}
	return exchange.Pressure{
		Service:            bottleneck.Service,
		AdmittedImportance: bottleneck.AdmittedImportance,
		QueueDelay:         bottleneck.QueueDelay,
		FreeSlots:          bottleneck.FreeSlots,
		Shed:               shed,
	}
}
