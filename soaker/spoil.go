package soaker

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/clocker"
	"github.com/turmericlift/turmericlift/platform"
	"github.com/turmericlift/turmericlift/platform/impersonator"
)

// spoilEntries puts wrong entries of one backend server after the other into the store, or starts a server's process again
// while it is cut off from the store if restarts is set, until ctx ends. It uses random numbers of its own, like
// rejectRequests.
func (env *environment) spoilEntries(ctx context.Context, rng *rand.Rand, restarts bool) {
	for clocker.Sleep(ctx, randomFaultTime(rng)) {
		b := pick(rng, env.backends)
		if restarts && rng.Intn(3) == 0 {
			env.restartCutOff(ctx, b, min(randomFaultTime(rng), entryExpiryTime-heartbeatInterval/2))
		} else {
			b.spoilEntry(ctx, rng)
		}
	}
}

// spoilEntry writes an earlier entry of the server, of its process or of a former one, or one without a start time. The
// server's next heartbeat puts it right.
func (b *backend) spoilEntry(ctx context.Context, rng *rand.Rand) {
	b.mu.Lock()
	if len(b.written) < 2 || b.down {
		b.mu.Unlock()
		return
	}
	newest := b.written[len(b.written)-1]
	data := impersonator.EncodeEntry(pick(rng, b.written[:len(b.written)-1]))
	if rng.Intn(2) == 0 {
		data = []byte(strings.Replace(string(impersonator.EncodeEntry(newest)), fmt.Sprintf(`,"born":%d`, newest.Incarnation), "", 1))
	}
	name, incarnation := b.name, b.incarnation
	b.env.objects.Put(platform.KindServers, string(name), nil, data)
	b.mu.Unlock()
	clocker.Sleep(ctx, heartbeatInterval)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.name != name || !b.listed: // The entry expires.
		b.env.objects.Delete(platform.KindServers, string(name), nil)
	case b.incarnation == incarnation && !b.down:
		b.writeEntry()
	}
}

// restartCutOff starts the server's process again, under its name, while the server is cut off from the store: its entry is
// that of the former process for a time.
func (env *environment) restartCutOff(ctx context.Context, b *backend, cut time.Duration) {
	b.mu.Lock()
	// A pooled server runs similar requests all the time; several crashes in a row would look like the requests' fault.
	if b.down || b.draining || !b.listed || !b.keyed {
		b.mu.Unlock()
		return
	}
	b.down = true
	name := b.name
	b.mu.Unlock()
	env.setRefused(b, true)
	clocker.Sleep(ctx, heartbeatInterval/4)
	b.mu.Lock()
	b.startProcess(time.Now(), true)
	b.coldUntil = time.Time{} // Nobody could know that it is cold.
	incarnation := b.incarnation
	b.mu.Unlock()
	env.setRefused(b, false)
	clocker.Sleep(ctx, cut)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.name == name && b.incarnation == incarnation && !b.down && b.listed {
		b.writeEntry()
	}
}
