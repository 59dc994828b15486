// Package node has what both roles of the gateway, edge and controller, share as processes: their command line, what they
// start with, and the environment that every part of them may use.
package node

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/apierror"
	"mulleinwood/internal/platform/lifecycle"
	"mulleinwood/internal/platform/metrics"
	"mulleinwood/internal/platform/nodesettings"
)

// Config is what a process starts with. All fields but Security and Reloads are required.
type Config struct {
	Settings *nodesettings.Settings
	Security *peer.Security // nil: links to other processes are plain
	Logger   log.Logger
	Reloads  <-chan os.Signal // a value for each SIGHUP; nil: none comes
}

// Env is what every part of a process may use: the facts of the platform, the log, the counters and the clock. Nothing in
// it changes after the start, and it may be used by any goroutine.
type Env struct {
	Settings  *nodesettings.Settings
	Logger    log.Logger
	Metrics   *metrics.Metrics
	StartedAt time.Time
	// Incarnation names this run of the process; it is drawn at random and not 0.
	Incarnation uint64
}

// NewEnv makes the environment of a process that starts now. Role is one of the roles of package metrics.
func NewEnv(config Config, role string, incarnation uint64) *Env {
	return &Env{Settings: config.Settings, Logger: config.Logger, Metrics: metrics.New(role), StartedAt: time.Now(),
		Incarnation: incarnation}
}

// Now is the time since the process started, on the steady clock: jumps of the time of day don't show in it.
func (e *Env) Now() time.Duration { return time.Since(e.StartedAt) }

// LogEvent writes one line with the event and what belongs to it. A line that can't be written is lost, since that must
// not stop a process.
func (e *Env) LogEvent(event string, keyvals ...any) {
	_ = e.Logger.Log(append([]any{"event", event}, keyvals...)...)
}

// Listen opens a TCP listener.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

// Main runs a role as a process and doesn't return. The context that run gets ends with SIGTERM or SIGINT.
func Main(name, usage string, run func(context.Context, Config) error) {
	lifecycle.Main(&cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{&cli.StringFlag{
			Name:    "inner-tls",
			Sources: cli.EnvVars("MULLEINWOOD_INNER_TLS"),
			Usage: "folder with certificate.pem, key.pem and authorities.pem for links between the gateway's processes; " +
				"none: links are plain",
		}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			reloads := Reloads()
			settings, err := nodesettings.Load()
			if err != nil {
				return err
			}
			settings.ApplyMemoryLimit()
			security, err := peer.NewSecurity(cmd.String("inner-tls"), settings.IP)
			if err != nil {
				return apierror.Settings.Wrap(err, "--inner-tls")
			}
			logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
			return run(ctx, Config{Settings: settings, Security: security, Logger: logger, Reloads: reloads})
		},
	})
}
