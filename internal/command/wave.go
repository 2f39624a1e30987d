package command

import (
	"context"
	"fmt"

	"github.com/sardinehead/sardinehead/internal/core/maintenance"
	"github.com/sardinehead/sardinehead/internal/publish"
)

// Wave holds the subcommands that control the maintenance wave.
type Wave struct {
	Start  WaveStart  `command:"start" description:"Start the next wave now"`
	Pause  WavePause  `command:"pause" description:"Stop the wave from taking further VMs"`
	Resume WaveResume `command:"resume" description:"Resume a paused wave"`
}

// WaveStart starts the next wave.
type WaveStart struct {
	OperatorOptions
}

// Execute implements flags.Commander.
func (w *WaveStart) Execute([]string) error {
	return w.changeWave((*publish.Client).StartWave)
}

// WavePause pauses the wave: no maintenance of further VMs is started.
type WavePause struct {
	OperatorOptions
	Reason string `long:"reason" required:"yes" description:"reason shown to operators in the state of the wave"`
}

// Execute implements flags.Commander.
func (w *WavePause) Execute([]string) error {
	return w.changeWave(func(c *publish.Client, ctx context.Context) (maintenance.Wave, error) {
		return c.PauseWave(ctx, w.Reason)
	})
}

// WaveResume resumes a paused wave.
type WaveResume struct {
	OperatorOptions
}

// Execute implements flags.Commander.
func (w *WaveResume) Execute([]string) error {
	return w.changeWave((*publish.Client).ResumeWave)
}

// changeWave changes the wave through a record on the log and prints the resulting
// state of the wave.
func (o *OperatorOptions) changeWave(change func(*publish.Client, context.Context) (maintenance.Wave, error)) error {
	return o.withClient(func(ctx context.Context, client *publish.Client) error {
		wave, err := change(client, ctx)
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
