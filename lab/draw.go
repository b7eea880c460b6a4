package lab

import (
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// drawArea returns the drawing area of a canvas.
func drawArea(canvas vg.CanvasSizer) draw.Canvas { return draw.New(canvas) }
