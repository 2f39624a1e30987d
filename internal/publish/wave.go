package publish

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/record"
)

// ErrWaveState is returned if a wave cannot be paused or resumed in its current
// state, or if another change to it came first. Nothing was changed.
var ErrWaveState = errors.New("the wave is not in the required state")

// StartWave starts the next maintenance wave.
func (c *Client) StartWave(ctx context.Context) (maintenance.Wave, error) {
	return c.appendWaveRecord(ctx, func(w maintenance.Wave) (record.Body, error) {
		return record.WaveStarted{Operator: c.Operator, Wave: w.Number + 1, UnixSeconds: time.Now().Unix()}, nil
	})
}

// PauseWave pauses the current wave: no maintenance of further VMs is started.
func (c *Client) PauseWave(ctx context.Context, reason string) (maintenance.Wave, error) {
	return c.appendWaveRecord(ctx, func(w maintenance.Wave) (record.Body, error) {
		if w.Number == 0 || w.PauseOffset != 0 {
			return nil, errors.Wrap(ErrWaveState, "no wave is active")
		}
		return record.WavePaused{Operator: c.Operator, Wave: w.Number, Reason: reason}, nil
	})
}

// ResumeWave resumes a paused wave.
func (c *Client) ResumeWave(ctx context.Context) (maintenance.Wave, error) {
	return c.appendWaveRecord(ctx, func(w maintenance.Wave) (record.Body, error) {
		if w.PauseOffset == 0 {
			return nil, errors.Wrap(ErrWaveState, "the wave is not paused")
		}
		return record.WaveResumed{Operator: c.Operator, Wave: w.Number, Paused: w.PauseOffset}, nil
	})
}

// appendWaveRecord appends the record that newRecord returns for the current state
// of the wave, and returns the state after it. It fails with ErrWaveState if the
// record was not accepted because of a concurrent one.
func (c *Client) appendWaveRecord(ctx context.Context, newRecord func(maintenance.Wave) (record.Body, error)) (maintenance.Wave, error) {
	state, err := c.foldStream(ctx)
	if err != nil {
		return maintenance.Wave{}, err
	}
	body, err := newRecord(state.Maintenance.Wave)
	if err != nil {
		return state.Maintenance.Wave, err
	}
	f := fold{client: c, state: state}
	result, err := f.append(ctx, body)
	if err != nil {
		return state.Maintenance.Wave, err
	}
	if result.change.Maintenance == nil || !result.change.Maintenance.Accepted {
		return state.Maintenance.Wave, errors.Wrap(ErrWaveState, "another change to the wave came first; see the command status")
	}
	return state.Maintenance.Wave, nil
}
