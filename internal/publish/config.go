package publish

import (
	"context"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Plan is a configuration to be published, compared with the one in force.
type Plan struct {
	// Base is the revision in force when the plan was made.
	Base vocab.Revision `json:"base"`
	// Changes lists the differences to the base. If it is empty, there is nothing
	// to publish.
	Changes []spec.Change `json:"changes"`

	fleet spec.Fleet
	// state is the folded state at the base.
	state *shared.State
}

// PublishResult is the result of publishing a plan.
type PublishResult struct {
	// Accepted is set if the plan's configuration came into force.
	Accepted bool `json:"accepted"`
	// Revision is the revision in force right after the plan's record.
	Revision vocab.Revision `json:"revision"`
	// Others lists the configurations accepted since the base of a refused plan.
	Others []Publication `json:"others,omitempty"`
	// Since lists what those configurations changed.
	Since []spec.Change `json:"since,omitempty"`
}

// Publication identifies a configuration that was published concurrently.
type Publication struct {
	Revision vocab.Revision `json:"revision"`
	Operator string         `json:"operator"`
}

// Plan compares a configuration with the one in force.
func (c *Client) Plan(ctx context.Context, fleet spec.Fleet) (Plan, error) {
	state, err := c.foldStream(ctx)
	if err != nil {
		return Plan{}, err
	}
	return Plan{
		Base:    state.Revision,
		Changes: spec.Diff(fleetInForce(state), fleet),
		fleet:   fleet.Normalized(),
		state:   state,
	}, nil
}

// Publish proposes the plan's configuration and reports whether it came into
// force. The configuration is refused if the revision in force is no longer the
// plan's base. After ErrUnknown, a new Plan shows whether it took effect.
func (c *Client) Publish(ctx context.Context, plan Plan) (PublishResult, error) {
	before := fleetInForce(plan.state)
	var others []Publication
	f := fold{client: c, state: plan.state}
	f.onRecord = func(rec record.Sequenced, change shared.Change) {
		if change.ConfigChanged {
			others = append(others, newPublication(rec))
		}
	}
	own, err := f.append(ctx, record.ConfigPublished{Base: plan.Base, Operator: c.Operator, Fleet: plan.fleet})
	if err != nil {
		return PublishResult{}, err
	}
	if own.change.ConfigChanged {
		return PublishResult{Accepted: true, Revision: vocab.Revision(own.offset)}, nil
	}
	return PublishResult{
		Revision: f.state.Revision,
		Others:   others,
		Since:    spec.Diff(before, fleetInForce(f.state)),
	}, nil
}

// newPublication returns the revision and operator of a published configuration.
func newPublication(rec record.Sequenced) Publication {
	other := Publication{Revision: vocab.Revision(rec.Offset)}
	if body, err := record.Decode(rec.Envelope); err == nil {
		if config, ok := body.(record.ConfigPublished); ok {
			other.Operator = config.Operator
		}
	}
	return other
}

// fleetInForce returns the configuration in force; empty if there is none.
func fleetInForce(state *shared.State) spec.Fleet {
	if state.Fleet == nil {
		return spec.Fleet{}
	}
	return *state.Fleet
}
