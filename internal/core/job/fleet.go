package job

import "github.com/sardinehead/sardinehead/internal/core/event"

func (o *owner) handleFleet(event.Event) {}
func (o *owner) tickFleet()              {}
func (o *owner) paceFillers(*worker)     {}
