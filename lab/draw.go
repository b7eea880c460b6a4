package lab

import (
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// drawArea returns where a plot draws itself on a canvas.
func drawArea(canvas vg.CanvasSizer) draw.Canvas { return draw.New(canvas) }
