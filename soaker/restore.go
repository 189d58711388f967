package soaker

import (
	"context"
	"math/rand"
	"time"

	"github.com/turmericlift/turmericlift/clocker"
	"github.com/turmericlift/turmericlift/platform"
)

// restoreStore restores the store from a copy again and again until ctx ends. What operators and backend servers had written is
// written again at once. It uses random numbers of its own, like rejectRequests.
func (env *environment) restoreStore(ctx context.Context, rng *rand.Rand) {
	for clocker.Sleep(ctx, randomFaultTime(rng)) {
		saved := env.objects.Copy()
		clocker.Sleep(ctx, 2*randomFaultTime(rng))
		env.recordStoreFault(time.Now())
		env.objects.Restore(saved)
		names := map[string]bool{}
		for _, b := range env.backends {
			b.mu.Lock()
			if names[string(b.name)] = b.listed; b.listed && !b.down {
				b.writeEntry()
			}
			b.mu.Unlock()
		}
		for _, o := range env.objects.List(platform.KindServers).Objects {
			if !names[o.Name] {
				env.objects.Delete(platform.KindServers, o.Name, nil)
			}
		}
		env.mu.Lock()
		at, evacuated := env.evacuatedAt["b"]
		env.mu.Unlock()
		env.setEvacuated(at, "b", evacuated)
		env.writeConfig(time.Now())
		env.recordStoreFault(time.Now())
	}
}
