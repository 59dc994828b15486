package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/operator"
	"mulleinwood/internal/platform/apierror"
)

// bookings are the commands on booked slots.
func bookings() *cli.Command {
	what := []cli.Flag{
		&cli.StringFlag{Name: "tenant", Usage: "host whose requests have the room"},
		&cli.StringFlag{Name: "service", Usage: "service at whose servers it is"},
		&cli.StringFlag{Name: "route", Usage: "name of the only route that has it (default: all of the tenant's to the service)"},
		&cli.StringFlag{Name: "zone", Usage: "zone whose edges have it (default: all)"},
		&cli.StringFlag{Name: "start", Usage: "such as 2026-07-01T06:00:00-04:00"},
		&cli.StringFlag{Name: "end"},
		&cli.StringFlag{Name: "ramp",
			Usage: "span before the start and after the end in which the room grows and shrinks, such as 10m"},
		&cli.Float64Flag{Name: "slots", Usage: "requests in work"},
		&cli.Float64Flag{Name: "rate", Usage: "requests a second, with --work instead of --slots"},
		&cli.StringFlag{Name: "work", Usage: "span that a request takes, such as 250ms"},
		&cli.IntFlag{Name: "rank", Usage: "0 is kept longest when room is short"},
		&cli.StringFlag{Name: "owner", Usage: "who asked for it"},
		&cli.StringFlag{Name: "reason"},
	}
	dry := &cli.BoolFlag{Name: "dry-run", Usage: "only say whether it could be kept"}
	return &cli.Command{Name: "bookings", Usage: "room that is booked ahead", Commands: []*cli.Command{
		{Name: "list", Usage: "what is booked, and what of it can't be kept now", Action: bookingsList},
		{Name: "show", Usage: "one booking, or how it went out of the book", ArgsUsage: "ID", Action: bookingsShow},
		{Name: "check", Usage: "say what could be kept of a booking; code 1 if it could not", ArgsUsage: "ID", Flags: what,
			Action: bookingsAdd},
		{Name: "add", Usage: "book room", ArgsUsage: "ID", Flags: append([]cli.Flag{dry}, what...), Action: bookingsAdd},
		{Name: "change", Usage: "change what the flags name of a booking, also while its time runs", ArgsUsage: "ID",
			Flags: append([]cli.Flag{dry}, what...), Action: bookingsAdd},
		{Name: "cancel", Usage: "take a booking out", ArgsUsage: "ID", Action: bookingsCancel},
		{Name: "plan", Usage: "book all that a file of days names; nothing if one of them can't be kept", ArgsUsage: "FILE",
			Flags: []cli.Flag{dry}, Action: bookingsPlan},
		{Name: "watch", Usage: "note every second how much of the rooms is wanted", Action: bookingsWatch, Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Value: time.Minute},
			&cli.StringFlag{Name: "plot", Usage: "PNG file for the page of room against use"},
		}},
	}}
}

func book(ctx context.Context, cmd *cli.Command) (*operator.Client, *operator.Bookings, error) {
	c, err := client(cmd)
	if err != nil {
		return nil, nil, err
	}
	text, err := c.Call(ctx, http.MethodGet, "/bookings", nil, nil)
	if err != nil {
		return nil, nil, err
	}
	b := &operator.Bookings{}
	if err := json.Unmarshal(text, b); err != nil {
		return nil, nil, fmt.Errorf("the answer can't be read: %w", err)
	}
	return c, b, nil
}

func bookingsList(ctx context.Context, cmd *cli.Command) error {
	_, b, err := book(ctx, cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(b)
	}
	fmt.Printf("book %s, core's time %s\n", b.Version, operator.At(b.Now))
	return table("BOOKING\tTENANT\tSERVICE\tFROM\tTO\tSLOTS\tRANK\tOWNER\tNOW", func(w *tabwriter.Writer) {
		for _, one := range b.Bookings {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.1f\t%d\t%s\t%s\n", one.ID, one.Tenant, one.Service, operator.At(one.Start),
				operator.At(one.End),
				one.Slots, one.Rank, one.Owner, stateOf(b, one))
		}
	})
}

func stateOf(b *operator.Bookings, one reservation.Booking) string {
	switch wants := one.SlotsAt(b.Now); {
	case b.Shortfalls[one.ID] > 0:
		return fmt.Sprintf("in danger: lacks %.1f", b.Shortfalls[one.ID])
	case wants > 0:
		return fmt.Sprintf("holds %.1f", wants)
	case b.Now < one.Start:
		return "ahead"
	}
	return "over"
}

func oneID(cmd *cli.Command) (string, error) {
	if cmd.NArg() != 1 || cmd.Args().First() == "" {
		return "", apierror.Settings.New("%s takes one id", cmd.FullName())
	}
	return cmd.Args().First(), nil
}

func bookingsShow(ctx context.Context, cmd *cli.Command) error {
	id, err := oneID(cmd)
	if err != nil {
		return err
	}
	_, b, err := book(ctx, cmd)
	if err != nil {
		return err
	}
	for _, one := range b.Bookings {
		if one.ID == id {
			return printJSON(one)
		}
	}
	for _, past := range slices.Backward(b.Past) {
		if past.ID == id {
			return printJSON(past)
		}
	}
	return fmt.Errorf("there is no booking %s", id)
}

// bookingsAdd books, changes or checks, as its name says.
func bookingsAdd(ctx context.Context, cmd *cli.Command) error {
	id, err := oneID(cmd)
	if err != nil {
		return err
	}
	c, b, err := book(ctx, cmd)
	if err != nil {
		return err
	}
	e := operator.Entry{ID: id}
	at := slices.IndexFunc(b.Bookings, func(o reservation.Booking) bool { return o.ID == id })
	switch {
	case cmd.Name == "change" && at < 0:
		return fmt.Errorf("there is no booking %s to change", id)
	case cmd.Name == "add" && at >= 0:
		return fmt.Errorf("booking %s is there already: change or cancel it", id)
	case at >= 0:
		e = operator.EntryOf(b.Bookings[at])
	}
	for name, into := range map[string]*string{"tenant": &e.Tenant, "service": &e.Service, "route": &e.Route, "zone": &e.Zone,
		"start": &e.Start,
		"end":   &e.End, "ramp": &e.Ramp, "work": &e.Work, "owner": &e.Owner, "reason": &e.Reason} {
		if cmd.IsSet(name) {
			*into = cmd.String(name)
		}
	}
	if cmd.IsSet("rate") || cmd.IsSet("work") {
		e.Slots = 0
	}
	if cmd.IsSet("slots") {
		e.Slots, e.Rate, e.Work = cmd.Float64("slots"), 0, ""
	}
	e.Rate = cmp.Or(cmd.Float64("rate"), e.Rate)
	if cmd.IsSet("rank") {
		e.Rank = cmd.Int("rank")
	}
	one, err := e.Booking()
	if err != nil {
		return err
	}
	dry := cmd.Name == "check" || cmd.Bool("dry-run")
	said, err := putBooking(ctx, c, b.Version, dry, "/bookings/"+url.PathEscape(id), one)
	if err != nil {
		return err
	}
	return tellBooked(cmd, fmt.Sprintf("%s, %.1f slots", id, one.Slots), dry, said)
}

func putBooking(ctx context.Context, c *operator.Client, version string, dry bool, path string,
	what any) (*operator.BookingResult, error) {
	body, err := json.Marshal(what)
	if err != nil {
		return nil, err
	}
	if dry {
		path += "?dry_run=true"
	}
	text, err := c.Call(ctx, http.MethodPut, path, http.Header{"If-Match": {version}, "Content-Type": {"application/json"}}, body)
	if err != nil {
		return nil, err
	}
	said := &operator.BookingResult{}
	return said, json.Unmarshal(text, said)
}

func tellBooked(cmd *cli.Command, what string, dry bool, said *operator.BookingResult) error {
	if cmd.Bool("json") {
		if err := printJSON(said); err != nil {
			return err
		}
	} else if said.Accepted && dry {
		fmt.Printf("%s could be kept\n", what)
	} else if said.Accepted {
		fmt.Printf("%s: booked, %s\n", what, said.Version)
	}
	if !said.Accepted {
		return fmt.Errorf("booking %s can't be kept, %.1f slots could", said.ID, said.Available)
	}
	return nil
}

func bookingsCancel(ctx context.Context, cmd *cli.Command) error {
	id, err := oneID(cmd)
	if err != nil {
		return err
	}
	c, b, err := book(ctx, cmd)
	if err != nil {
		return err
	}
	text, err := c.Call(ctx, http.MethodDelete, "/bookings/"+url.PathEscape(id), http.Header{"If-Match": {b.Version}}, nil)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		fmt.Println(string(text))
		return nil
	}
	fmt.Printf("%s is cancelled\n", id)
	return nil
}

// bookingsPlan books all of a file, or nothing.
func bookingsPlan(ctx context.Context, cmd *cli.Command) error {
	text, err := file(cmd)
	if err != nil {
		return err
	}
	all, err := operator.Plan(cmd.Args().First(), text)
	if err != nil {
		return err
	}
	c, b, err := book(ctx, cmd)
	if err != nil {
		return err
	}
	dry := cmd.Bool("dry-run")
	said, err := putBooking(ctx, c, b.Version, dry, "/bookings", operator.BookingList{Bookings: all})
	if err != nil {
		return err
	}
	return tellBooked(cmd, fmt.Sprintf("%d bookings", len(all)), dry, said)
}

// bookingsWatch notes how much of the reservations is wanted, as lines of CSV, and draws it.
func bookingsWatch(ctx context.Context, cmd *cli.Command) error {
	var uses []operator.Noted
	fmt.Println("time,room,slots,wanted")
	for end := time.Now().Add(cmd.Duration("for")); time.Now().Before(end) && ctx.Err() == nil; {
		_, b, err := book(ctx, cmd)
		if err != nil {
			return err
		}
		for _, u := range b.Usage {
			uses = append(uses, operator.Noted{At: b.Now, ReservationUse: u})
			fmt.Println(operator.At(b.Now) + "," + u.ID + "," + strconv.Itoa(u.Slots) + "," + strconv.Itoa(u.Wanted))
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
	if path := cmd.String("plot"); path != "" {
		if err := operator.PlotUse(path, uses); err != nil {
			return err
		}
		fmt.Fprintln(os.Stderr, "drawn:", path)
	}
	return nil
}
