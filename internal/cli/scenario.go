package cli

// Scenario is peppervale scenario.
type Scenario struct {
	Run       ScenarioRun       `cmd:"" help:"Run a scenario and judge the invariants; exit status 1 if one was violated."`
	List      ScenarioList      `cmd:"" help:"List the scripts of a directory."`
	FromBench ScenarioFromBench `cmd:"" name:"from-bench" help:"Turn the bench's scenario into a script, scaled down."`
}
