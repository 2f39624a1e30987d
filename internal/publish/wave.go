package publish

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/record"
)

// ErrWave is returned for an order to the wave of maintenance that does not fit
// its state; nothing was changed.
var ErrWave = errors.New("the order does not fit the wave's state")

// StartWave begins the next wave of maintenance.
func (c *Client) StartWave(ctx context.Context) (maintenance.Wave, error) {
	return c.directWave(ctx, func(w maintenance.Wave) (record.Body, error) {
		return record.WaveStarted{Operator: c.Operator, Wave: w.Number + 1, UnixSeconds: time.Now().Unix()}, nil
	})
}

// PauseWave stops the wave from taking further VMs.
func (c *Client) PauseWave(ctx context.Context, reason string) (maintenance.Wave, error) {
	return c.directWave(ctx, func(w maintenance.Wave) (record.Body, error) {
		if w.Number == 0 || w.PauseOffset != 0 {
			return nil, errors.Wrap(ErrWave, "no wave is under way")
		}
		return record.WavePaused{Operator: c.Operator, Wave: w.Number, Reason: reason}, nil
	})
}

// ResumeWave lets a paused wave go on.
func (c *Client) ResumeWave(ctx context.Context) (maintenance.Wave, error) {
	return c.directWave(ctx, func(w maintenance.Wave) (record.Body, error) {
		if w.PauseOffset == 0 {
			return nil, errors.Wrap(ErrWave, "the wave is not paused")
		}
		return record.WaveResumed{Operator: c.Operator, Wave: w.Number, Paused: w.PauseOffset}, nil
	})
}

// directWave appends an order made from the wave's state, and returns the state
// after it. An order that another one overtook fails with ErrWave.
func (c *Client) directWave(ctx context.Context, order func(maintenance.Wave) (record.Body, error)) (maintenance.Wave, error) {
	state, err := c.read(ctx)
	if err != nil {
		return maintenance.Wave{}, err
	}
	body, err := order(state.Maintenance.Wave)
	if err != nil {
		return state.Maintenance.Wave, err
	}
	f := fold{client: c, state: state}
	done, err := f.append(ctx, body)
	if err != nil {
		return state.Maintenance.Wave, err
	}
	if done.change.Maintenance == nil || !done.change.Maintenance.Accepted {
		return state.Maintenance.Wave, errors.Wrap(ErrWave, "another order came first; look at status")
	}
	return state.Maintenance.Wave, nil
}
