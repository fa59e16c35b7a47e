//! A plot of how the cost of control grows.

use std::path::Path;

use plotters::prelude::ChartBuilder;
use plotters::prelude::Circle;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::IntoLogRange;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::SVGBackend;
use plotters::style::Color;
use plotters::style::WHITE;

use crate::legend;
use crate::measure::slopes::Axis;
use crate::measure::slopes::Point;
use crate::measure::slopes::Role;
use crate::measure::Error;

const SIZE_PIXELS: (u32, u32) = (1_200, 900);
const PANELS: (usize, usize) = (2, 2);
const MARGIN_PIXELS: u32 = 16;
const LABELS_PIXELS: u32 = 50;
const FONT: (&str, u32) = ("sans-serif", 18);
const COUNTS: std::ops::Range<f64> = 8.0..6_000.0;

/// Room above the highest point.
const HEADROOM: f64 = 1.1;

/// One line of a panel.
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::Plot(error.to_string())
}

/// Draws a panel for each metric, as shares of its budget, and a line for each role and axis.
pub fn growth(path: &Path, measured: &[(Axis, Vec<Point>)]) -> Result<(), Error> {
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE).map_err(failed)?;
    let panels = root.split_evenly(PANELS);
    for (number, (panel, metric)) in panels.iter().zip(Role::Gateway.metrics()).enumerate() {
        let all = series(measured, number);
        let points = all.iter().flat_map(|one| &one.points);
        let highest = points.map(|(_, y)| *y).fold(1.0, f64::max) * HEADROOM;
        let mut chart = ChartBuilder::on(panel)
            .caption(format!("{}, share of its budget", metric.name), FONT)
            .margin(MARGIN_PIXELS)
            .x_label_area_size(LABELS_PIXELS)
            .y_label_area_size(LABELS_PIXELS)
            .build_cartesian_2d(COUNTS.log_scale(), 0.0..highest)
            .map_err(failed)?;
        chart
            .configure_mesh()
            .x_desc("count")
            .draw()
            .map_err(failed)?;
        for (number, one) in all.into_iter().enumerate() {
            let colour = Palette99::pick(number).to_rgba();
            let circles = one
                .points
                .iter()
                .map(|at| Circle::new(*at, 3, colour.filled()));
            let circles: Vec<_> = circles.collect();
            chart.draw_series(circles).map_err(failed)?;
            chart
                .draw_series(LineSeries::new(one.points, colour.stroke_width(2)))
                .map_err(failed)?
                .label(one.name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        }
        legend::draw(&mut chart).map_err(failed)?;
    }
    root.present().map_err(failed)
}

fn series(measured: &[(Axis, Vec<Point>)], metric: usize) -> Vec<Series> {
    let mut all = Vec::new();
    for (axis, points) in measured {
        for role in axis.roles() {
            let metric = role.metrics()[metric];
            let share = |point: &Point| (metric.read)(&role.node(&point.sample)) / metric.budget;
            all.push(Series {
                name: format!("{} by {}", role.name(), axis.name()),
                points: points.iter().map(|p| (p.count as f64, share(p))).collect(),
            });
        }
    }
    all
}
