package program

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/transport"
)

// reloader applies a changed configuration while the planner serves. It reads files outside the routing goroutine, which
// receives a single event. An invalid configuration changes nothing.
type reloader struct {
	config       Config // the current configuration
	listener     *transport.Listener
	certificates *certificates // nil without TLS
	post         func(routing.Event)
	log          zerolog.Logger
}

// serve reloads the configuration at each signal until ctx is done. Signals that arrive during a reload are merged into one,
// since the file is read after the last of them.
func (r reloader) serve(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.reload()
		}
	}
}

func (r *reloader) reload() {
	if r.certificates != nil {
		if err := r.certificates.reload(time.Now()); err != nil {
			r.log.Error().Err(err).Msg("certificates not taken over: the former ones stay")
		}
	}
	next, needRestart, err := r.config.Reload()
	if err != nil {
		r.log.Error().Err(err).Msg("configuration not taken over: the former one stays")
		return
	}
	if next.Limits != r.config.Limits {
		next.Limits.apply()
		r.listener.SetMaxConns(maxConns(next.Limits.Sockets))
		r.listener.Memory.SetLimit(bufferBytes(next.Limits.MemoryMB))
	}
	if next.Discovery != r.config.Discovery {
		r.post(routing.DiscoveryMoved{Discovery: next.Discovery})
	}
	r.log.Info().Str("discovery", next.Discovery).Strs("needs a new start", needRestart).Msg("configuration taken over")
	r.config.Limits, r.config.Discovery, r.config.fromFile.discovery = next.Limits, next.Discovery, next.fromFile.discovery
}
