package commander

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/turmericlift/turmericlift/soaker"
)

// maxSoakInstances bounds the instances of a run. Each is a process, so that a run has a few hundred processes at most.
const maxSoakInstances = 200

var errInvariantViolated = errors.New("an invariant was violated")

func setUpSoak(c *kingpin.CmdClause) func(context.Context, environment) error {
	program := addFlag(c, "program", "The program that is tested; default: this one.").String()
	seeds := addFlag(c, "seeds", "Number of seeds to run, one after the other.").Default("1").Int()
	firstSeed := addFlag(c, "first-seed", "The first seed; 0: derived from the time of day.").Default("0").Int64()
	instances := addFlag(c, "instances", "Number of entry instances; each is a process.").Default("4").Int()
	callers := addFlag(c, "callers", "Number of callers of each instance.").Default("4").Int()
	faultTime := addFlag(c, "fault-time", "How long faults are injected.").Default("20s").Duration()
	restartCutOff := addFlag(c, "restart-cut-off", "Whether keyed backend servers start again while they are cut off from the store.").Default("true").Bool()
	restores := addFlag(c, "restores", "Whether the store comes back from copies.").Default("false").Bool()
	folder := addFlag(c, "folder", "Directory for the processes' logs and settings; default: a new temporary directory.").String()
	return func(ctx context.Context, env environment) error {
		cfg := soaker.Config{Program: *program, Instances: *instances, CallersPerInstance: *callers, FaultTime: *faultTime, RestartCutOff: *restartCutOff, Restores: *restores, Folder: *folder}
		switch {
		case cfg.Instances < 1 || cfg.Instances > maxSoakInstances:
			return fmt.Errorf("--instances %d is not valid: must be from 1 to %d", cfg.Instances, maxSoakInstances)
		case cfg.CallersPerInstance < 1:
			return fmt.Errorf("--callers %d is not valid: must be at least 1", cfg.CallersPerInstance)
		case *seeds < 1:
			return fmt.Errorf("--seeds %d is not valid: must be at least 1", *seeds)
		}
		var err error
		if cfg.Program == "" {
			if cfg.Program, err = os.Executable(); err != nil {
				return fmt.Errorf("find the path of this program: %w", err)
			}
		}
		if cfg.Folder == "" {
			if cfg.Folder, err = os.MkdirTemp("", "turmericlift-soak-"); err != nil {
				return fmt.Errorf("create a directory for logs: %w", err)
			}
		}
		if *firstSeed == 0 {
			*firstSeed = time.Now().UnixMilli()
		}
		return runSeeds(ctx, env, cfg, *firstSeed, *seeds)
	}
}

// runSeeds runs seeds one after the other and prints the result of each. It keeps the logs of the seeds that violated
// an invariant, deletes the others', and returns errInvariantViolated if there was such a seed.
func runSeeds(ctx context.Context, env environment, cfg soaker.Config, firstSeed int64, seeds int) error {
	failedSeeds := 0
	for seed := firstSeed; seed < firstSeed+int64(seeds) && ctx.Err() == nil; seed++ {
		r, err := soaker.Run(ctx, cfg, seed)
		if err != nil {
			return err
		}
		fmt.Fprintf(env.out, "seed %d: %d faults, %d requests, %d served, %d invariants violated\n", seed, r.Faults, r.Requests, r.Served, len(r.ViolationCounts))
		for _, v := range r.Violations {
			fmt.Fprintf(env.out, "  %s\n", v)
		}
		if len(r.Violations) > 0 {
			failedSeeds++
			fmt.Fprintf(env.out, "  logs: %s\n", r.Folder)
		} else if err := os.RemoveAll(r.Folder); err != nil {
			return fmt.Errorf("remove the logs of seed %d: %w", seed, err)
		}
	}
	if failedSeeds > 0 {
		return fmt.Errorf("%d of %d seeds: %w", failedSeeds, seeds, errInvariantViolated)
	}
	return nil
}
