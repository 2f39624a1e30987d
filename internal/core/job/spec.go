package job

// validateSpec returns the reason why a job is rejected, or an empty string.
func validateSpec(spec *Spec) string {
	if len(spec.Steps) == 0 || len(spec.Steps) > MaxSteps/max(1, spec.Occurrences) {
		return "a job has 1 to 2000 steps, those of all occurrences taken together"
	}
	tasks := 0
	for i := range spec.Steps {
		step := &spec.Steps[i]
		tasks += step.Count
		if step.Count < 1 || tasks > maxTasks {
			return "a job has 1 to 2000 tasks, and each step at least one"
		}
		if step.Need.CPU < 0 || step.Need.Memory < 0 || step.Need.GPU < 0 {
			return "needs must not be negative"
		}
		for _, before := range step.After {
			if before < 0 || before >= i {
				return "a step may depend on earlier steps only"
			}
		}
	}
	if spec.Occurrences < 0 {
		return "a job repeats 0 times or more"
	}
	return ""
}
