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

// bookingsCommand are the commands on booked slots.
func bookingsCommand() *cli.Command {
	bookingFlags := []cli.Flag{
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
	dryRun := &cli.BoolFlag{Name: "dry-run", Usage: "only say whether it could be kept"}
	return &cli.Command{Name: "bookings", Usage: "room that is booked ahead", Commands: []*cli.Command{
		{Name: "list", Usage: "what is booked, and what of it can't be kept now", Action: listBookings},
		{Name: "show", Usage: "one booking, or how it went out of the book", ArgsUsage: "ID", Action: showBooking},
		{Name: "check", Usage: "say what could be kept of a booking; code 1 if it could not", ArgsUsage: "ID",
			Flags:  bookingFlags,
			Action: addBooking},
		{Name: "add", Usage: "book room", ArgsUsage: "ID", Flags: append([]cli.Flag{dryRun}, bookingFlags...),
			Action: addBooking},
		{Name: "change", Usage: "change what the flags name of a booking, also while its time runs", ArgsUsage: "ID",
			Flags: append([]cli.Flag{dryRun}, bookingFlags...), Action: addBooking},
		{Name: "cancel", Usage: "take a booking out", ArgsUsage: "ID", Action: cancelBooking},
		{Name: "plan", Usage: "book all that a file of days names; nothing if one of them can't be kept", ArgsUsage: "FILE",
			Flags: []cli.Flag{dryRun}, Action: bookPlan},
		{Name: "watch", Usage: "note every second how much of the rooms is wanted", Action: watchReservations, Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Value: time.Minute},
			&cli.StringFlag{Name: "plot", Usage: "PNG file for the page of room against use"},
		}},
	}}
}

func fetchBookings(ctx context.Context, cmd *cli.Command) (*operator.Client, *operator.Bookings, error) {
	client, err := newClient(cmd)
	if err != nil {
		return nil, nil, err
	}
	text, err := client.Call(ctx, http.MethodGet, "/bookings", nil, nil)
	if err != nil {
		return nil, nil, err
	}
	bookings := &operator.Bookings{}
	if err := json.Unmarshal(text, bookings); err != nil {
		return nil, nil, fmt.Errorf("the answer can't be read: %w", err)
	}
	return client, bookings, nil
}

func listBookings(ctx context.Context, cmd *cli.Command) error {
	_, bookings, err := fetchBookings(ctx, cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(bookings)
	}
	fmt.Printf("book %s, core's time %s\n", bookings.Version, operator.At(bookings.Now))
	return printTable("BOOKING\tTENANT\tSERVICE\tFROM\tTO\tSLOTS\tRANK\tOWNER\tNOW", func(w *tabwriter.Writer) {
		for _, booking := range bookings.Bookings {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.1f\t%d\t%s\t%s\n", booking.ID, booking.Tenant, booking.Service,
				operator.At(booking.Start),
				operator.At(booking.End),
				booking.Slots, booking.Rank, booking.Owner, bookingState(bookings, booking))
		}
	})
}

func bookingState(bookings *operator.Bookings, booking reservation.Booking) string {
	switch slots := booking.SlotsAt(bookings.Now); {
	case bookings.Shortfalls[booking.ID] > 0:
		return fmt.Sprintf("in danger: lacks %.1f", bookings.Shortfalls[booking.ID])
	case slots > 0:
		return fmt.Sprintf("holds %.1f", slots)
	case bookings.Now < booking.Start:
		return "ahead"
	}
	return "over"
}

func idArgument(cmd *cli.Command) (string, error) {
	if cmd.NArg() != 1 || cmd.Args().First() == "" {
		return "", apierror.Settings.New("%s takes one id", cmd.FullName())
	}
	return cmd.Args().First(), nil
}

func showBooking(ctx context.Context, cmd *cli.Command) error {
	id, err := idArgument(cmd)
	if err != nil {
		return err
	}
	_, bookings, err := fetchBookings(ctx, cmd)
	if err != nil {
		return err
	}
	for _, booking := range bookings.Bookings {
		if booking.ID == id {
			return printJSON(booking)
		}
	}
	for _, past := range slices.Backward(bookings.Past) {
		if past.ID == id {
			return printJSON(past)
		}
	}
	return fmt.Errorf("there is no booking %s", id)
}

// addBooking books, changes or checks, as its name says.
func addBooking(ctx context.Context, cmd *cli.Command) error {
	id, err := idArgument(cmd)
	if err != nil {
		return err
	}
	client, bookings, err := fetchBookings(ctx, cmd)
	if err != nil {
		return err
	}
	entry := operator.Entry{ID: id}
	index := slices.IndexFunc(bookings.Bookings, func(other reservation.Booking) bool { return other.ID == id })
	switch {
	case cmd.Name == "change" && index < 0:
		return fmt.Errorf("there is no booking %s to change", id)
	case cmd.Name == "add" && index >= 0:
		return fmt.Errorf("booking %s is there already: change or cancel it", id)
	case index >= 0:
		entry = operator.EntryOf(bookings.Bookings[index])
	}
	applyBookingFlags(cmd, &entry)
	booking, err := entry.Booking()
	if err != nil {
		return err
	}
	change := bookingChange{path: "/bookings/" + url.PathEscape(id), version: bookings.Version, body: booking,
		dryRun: cmd.Name == "check" || cmd.Bool("dry-run")}
	result, err := change.put(ctx, client)
	if err != nil {
		return err
	}
	return change.printResult(cmd, fmt.Sprintf("%s, %.1f slots", id, booking.Slots), result)
}

// applyBookingFlags puts what the flags name into an entry. Slots and a rate exclude each other: what is named wins.
func applyBookingFlags(cmd *cli.Command, entry *operator.Entry) {
	for name, target := range map[string]*string{
		"tenant": &entry.Tenant, "service": &entry.Service, "route": &entry.Route, "zone": &entry.Zone,
		"start": &entry.Start, "end": &entry.End, "ramp": &entry.Ramp, "work": &entry.Work,
		"owner": &entry.Owner, "reason": &entry.Reason,
	} {
		if cmd.IsSet(name) {
			*target = cmd.String(name)
		}
	}
	if cmd.IsSet("rate") || cmd.IsSet("work") {
		entry.Slots = 0
	}
	if cmd.IsSet("slots") {
		entry.Slots, entry.Rate, entry.Work = cmd.Float64("slots"), 0, ""
	}
	entry.Rate = cmp.Or(cmd.Float64("rate"), entry.Rate)
	if cmd.IsSet("rank") {
		entry.Rank = cmd.Int("rank")
	}
}

// bookingChange is a change of one booking, or of several together.
type bookingChange struct {
	path    string
	version string // of the bookings that the change is made on top of
	body    any    // a booking, or an operator.BookingList
	dryRun  bool   // only ask whether it would be accepted
}

func (c bookingChange) put(ctx context.Context, client *operator.Client) (*operator.BookingResult, error) {
	body, err := json.Marshal(c.body)
	if err != nil {
		return nil, err
	}
	path := c.path
	if c.dryRun {
		path += "?dry_run=true"
	}
	header := http.Header{"If-Match": {c.version}, "Content-Type": {"application/json"}}
	text, err := client.Call(ctx, http.MethodPut, path, header, body)
	if err != nil {
		return nil, err
	}
	result := &operator.BookingResult{}
	return result, json.Unmarshal(text, result)
}

// printResult tells what came of the change; one that was not accepted is an error.
func (c bookingChange) printResult(cmd *cli.Command, description string, result *operator.BookingResult) error {
	switch {
	case cmd.Bool("json"):
		if err := printJSON(result); err != nil {
			return err
		}
	case result.Accepted && c.dryRun:
		fmt.Printf("%s could be kept\n", description)
	case result.Accepted:
		fmt.Printf("%s: booked, %s\n", description, result.Version)
	}
	if !result.Accepted {
		return fmt.Errorf("booking %s can't be kept, %.1f slots could", result.ID, result.Available)
	}
	return nil
}

func cancelBooking(ctx context.Context, cmd *cli.Command) error {
	id, err := idArgument(cmd)
	if err != nil {
		return err
	}
	client, bookings, err := fetchBookings(ctx, cmd)
	if err != nil {
		return err
	}
	text, err := client.Call(ctx, http.MethodDelete, "/bookings/"+url.PathEscape(id),
		http.Header{"If-Match": {bookings.Version}}, nil)
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

// bookPlan books all of a file, or nothing.
func bookPlan(ctx context.Context, cmd *cli.Command) error {
	text, err := readFileArgument(cmd)
	if err != nil {
		return err
	}
	plan, err := operator.Plan(cmd.Args().First(), text)
	if err != nil {
		return err
	}
	client, bookings, err := fetchBookings(ctx, cmd)
	if err != nil {
		return err
	}
	change := bookingChange{path: "/bookings", version: bookings.Version, body: operator.BookingList{Bookings: plan},
		dryRun: cmd.Bool("dry-run")}
	result, err := change.put(ctx, client)
	if err != nil {
		return err
	}
	return change.printResult(cmd, fmt.Sprintf("%d bookings", len(plan)), result)
}

// watchReservations notes how much of the reservations is wanted, as lines of CSV, and draws it.
func watchReservations(ctx context.Context, cmd *cli.Command) error {
	var uses []operator.Noted
	fmt.Println("time,room,slots,wanted")
	for end := time.Now().Add(cmd.Duration("for")); time.Now().Before(end) && ctx.Err() == nil; {
		_, bookings, err := fetchBookings(ctx, cmd)
		if err != nil {
			return err
		}
		for _, use := range bookings.Usage {
			uses = append(uses, operator.Noted{At: bookings.Now, ReservationUse: use})
			fmt.Println(operator.At(bookings.Now) + "," + use.ID + "," + strconv.Itoa(use.Slots) + "," + strconv.Itoa(use.Wanted))
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
