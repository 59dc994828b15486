package operator

import (
	"cmp"
	"errors"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Noted is how a reservation was at a time.
type Noted struct {
	At float64
	ReservationUse
}

// PlotUse draws each reservation, and what was wanted of it, over time.
func PlotUse(path string, uses []Noted) error {
	if len(uses) == 0 {
		return errors.New("no room was held: there is nothing to draw")
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "booked room and its use", "seconds", "requests in work"
	first := slices.MinFunc(uses, func(a, b Noted) int { return cmp.Compare(a.At, b.At) }).At
	var rooms []string
	slots, wanted := map[string]plotter.XYs{}, map[string]plotter.XYs{}
	for _, u := range uses {
		if _, known := slots[u.ID]; !known {
			rooms = append(rooms, u.ID)
		}
		slots[u.ID] = append(slots[u.ID], plotter.XY{X: u.At - first, Y: float64(u.Slots)})
		wanted[u.ID] = append(wanted[u.ID], plotter.XY{X: u.At - first, Y: float64(u.Wanted)})
	}
	for i, room := range rooms {
		held, err := plotter.NewLine(slots[room])
		if err != nil {
			return err
		}
		used, err := plotter.NewLine(wanted[room])
		if err != nil {
			return err
		}
		held.Color, used.Color = plotutil.Color(i), plotutil.Color(i)
		held.Dashes = plotutil.Dashes(1)
		p.Add(held, used)
		p.Legend.Add(room+", room", held)
		p.Legend.Add(room+", wanted", used)
	}
	p.Legend.Top = true
	p.Y.Min = 0
	return p.Save(20*vg.Centimeter, 12*vg.Centimeter, path)
}
