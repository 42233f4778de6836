package cli

// Scenario is the command `peppervale scenario`.
type Scenario struct {
	Run       ScenarioRun       `cmd:"" help:"Run a scenario and check the invariants; exit status 1 if one was violated."`
	List      ScenarioList      `cmd:"" help:"List the scripts in a directory."`
	FromBench ScenarioFromBench `cmd:"" name:"from-bench" help:"Convert a simulator scenario into a script, scaled down."`
}
