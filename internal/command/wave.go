package command

import (
	"context"
	"fmt"

	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/publish"
)

// Wave directs the wave of maintenance.
type Wave struct {
	Start  WaveStart  `command:"start" description:"Begin the next wave now"`
	Pause  WavePause  `command:"pause" description:"Let the wave take no further VMs"`
	Resume WaveResume `command:"resume" description:"Let a paused wave go on"`
}

// WaveStart begins the next wave.
type WaveStart struct {
	Operator
}

// Execute implements flags.Commander.
func (w *WaveStart) Execute([]string) error {
	return w.direct((*publish.Client).StartWave)
}

// WavePause pauses the wave.
type WavePause struct {
	Operator
	Reason string `long:"reason" required:"yes" description:"shown to everybody who asks why VMs wait"`
}

// Execute implements flags.Commander.
func (w *WavePause) Execute([]string) error {
	return w.direct(func(c *publish.Client, ctx context.Context) (maintenance.Wave, error) {
		return c.PauseWave(ctx, w.Reason)
	})
}

// WaveResume resumes the wave.
type WaveResume struct {
	Operator
}

// Execute implements flags.Commander.
func (w *WaveResume) Execute([]string) error {
	return w.direct((*publish.Client).ResumeWave)
}

// direct gives an order and prints the wave after it.
func (o *Operator) direct(order func(*publish.Client, context.Context) (maintenance.Wave, error)) error {
	return o.run(func(ctx context.Context, client *publish.Client) error {
		wave, err := order(client, ctx)
		if err != nil {
			return err
		}
		state := "under way"
		if wave.PauseOffset != 0 {
			state = "paused: " + wave.PauseReason
		}
		return o.print(wave, []string{fmt.Sprintf("wave %d is %s", wave.Number, state)})
	})
}
