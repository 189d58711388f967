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

// mostSoakInstances keeps a run to a few hundred processes at most.
const mostSoakInstances = 200

var errPromiseBroken = errors.New("a promise was broken")

func setUpSoak(c *kingpin.CmdClause) func(context.Context, environment) error {
	program := flagOf(c, "program", "The program whose instances run; default: this one.").String()
	seeds := flagOf(c, "seeds", "Number of seeds to run, one after the other.").Default("1").Int()
	first := flagOf(c, "first-seed", "The first seed; 0: from the time of day.").Default("0").Int64()
	instances := flagOf(c, "instances", "Entry instances, each a process.").Default("4").Int()
	callers := flagOf(c, "callers", "Callers of each instance.").Default("4").Int()
	faultTime := flagOf(c, "fault-time", "Time in which faults strike.").Default("20s").Duration()
	folder := flagOf(c, "folder", "Where logs and settings of the processes go; default: a new folder for temporary files.").String()
	return func(ctx context.Context, env environment) error {
		cfg := soaker.Config{Program: *program, Instances: *instances, Callers: *callers, FaultTime: *faultTime, Folder: *folder}
		switch {
		case cfg.Instances < 1 || cfg.Instances > mostSoakInstances:
			return fmt.Errorf("--instances %d is not from 1 to %d", cfg.Instances, mostSoakInstances)
		case cfg.Callers < 1:
			return fmt.Errorf("--callers %d is less than 1", cfg.Callers)
		case *seeds < 1:
			return fmt.Errorf("--seeds %d is less than 1", *seeds)
		}
		var err error
		if cfg.Program == "" {
			if cfg.Program, err = os.Executable(); err != nil {
				return fmt.Errorf("find this program: %w", err)
			}
		}
		if cfg.Folder == "" {
			if cfg.Folder, err = os.MkdirTemp("", "turmericlift-soak-"); err != nil {
				return fmt.Errorf("make a folder for logs: %w", err)
			}
		}
		if *first == 0 {
			*first = time.Now().UnixMilli()
		}
		return soak(ctx, env, cfg, *first, *seeds)
	}
}

// soak runs seeds one after the other and prints what each has found.
func soak(ctx context.Context, env environment, cfg soaker.Config, first int64, seeds int) error {
	broken := 0
	for seed := first; seed < first+int64(seeds) && ctx.Err() == nil; seed++ {
		r, err := soaker.Run(ctx, cfg, seed)
		if err != nil {
			return err
		}
		fmt.Fprintf(env.out, "seed %d: %d faults, %d requests, %d served, %d promises broken\n", seed, r.Faults, r.Asked, r.Served, len(r.Found))
		for _, v := range r.Violations {
			fmt.Fprintf(env.out, "  %s\n", v)
		}
		if len(r.Violations) > 0 {
			broken++
			fmt.Fprintf(env.out, "  logs: %s\n", r.Folder)
		} else if err := os.RemoveAll(r.Folder); err != nil {
			return fmt.Errorf("remove the logs of seed %d: %w", seed, err)
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds: %w", broken, seeds, errPromiseBroken)
	}
	return nil
}
