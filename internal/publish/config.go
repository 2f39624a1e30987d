package publish

import (
	"context"

	"github.com/sardinehead/sardinehead/internal/core/shared"
	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/spec"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// Plan is a configuration beside the one in force.
type Plan struct {
	// Base is the revision in force that the plan changes.
	Base vocab.Revision `json:"base"`
	// Changes lists what the plan changes; without any there is nothing to publish.
	Changes []spec.Change `json:"changes"`

	fleet spec.Fleet
	state *shared.State
}

// Published is what became of a plan.
type Published struct {
	// Accepted is set if the plan came into force.
	Accepted bool `json:"accepted"`
	// Revision is the revision in force right after the plan was judged.
	Revision vocab.Revision `json:"revision"`
	// Others lists, for a refused plan, the configurations accepted since its base.
	Others []Other `json:"others,omitempty"`
	// Since lists, for a refused plan, what they changed.
	Since []spec.Change `json:"since,omitempty"`
}

// Other is a configuration that another operator published.
type Other struct {
	Revision vocab.Revision `json:"revision"`
	Operator string         `json:"operator"`
}

// Plan reads the configuration in force and compares it with another.
func (c *Client) Plan(ctx context.Context, fleet spec.Fleet) (Plan, error) {
	state, err := c.read(ctx)
	if err != nil {
		return Plan{}, err
	}
	return Plan{
		Base:    state.Revision,
		Changes: spec.Diff(inForce(state), fleet),
		fleet:   fleet.Normalized(),
		state:   state,
	}, nil
}

// Publish proposes the plan's configuration and reports whether it came into
// force. It is refused if the revision in force is no longer the plan's base.
// On ErrUnknown a new Plan shows whether it took effect.
func (c *Client) Publish(ctx context.Context, plan Plan) (Published, error) {
	before := inForce(plan.state)
	var others []Other
	f := fold{client: c, state: plan.state}
	f.onRecord = func(rec record.Sequenced, change shared.Change) {
		if change.ConfigChanged {
			others = append(others, otherOf(rec))
		}
	}
	own, err := f.append(ctx, record.ConfigPublished{Base: plan.Base, Operator: c.Operator, Fleet: plan.fleet})
	if err != nil {
		return Published{}, err
	}
	if own.change.ConfigChanged {
		return Published{Accepted: true, Revision: vocab.Revision(own.offset)}, nil
	}
	return Published{
		Revision: f.state.Revision,
		Others:   others,
		Since:    spec.Diff(before, inForce(f.state)),
	}, nil
}

func otherOf(rec record.Sequenced) Other {
	other := Other{Revision: vocab.Revision(rec.Offset)}
	if body, err := record.Decode(rec.Envelope); err == nil {
		if config, ok := body.(record.ConfigPublished); ok {
			other.Operator = config.Operator
		}
	}
	return other
}

// inForce returns the configuration in force, empty if there is none.
func inForce(state *shared.State) spec.Fleet {
	if state.Fleet == nil {
		return spec.Fleet{}
	}
	return *state.Fleet
}
