//! Plots of a run.

use std::path::Path;

use displaydoc::Display;
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
use crate::load::figures;
use crate::load::report::Named;
use crate::load::run::Sample;
use crate::load::scenario::Options;
use crate::load::workload::BANDS;

const SIZE_PIXELS: (u32, u32) = (1_000, 600);
const MARGIN_PIXELS: u32 = 16;
const LABELS_PIXELS: u32 = 60;
const FONT: (&str, u32) = ("sans-serif", 20);

/// Range of the axis of times, in milliseconds.
const LEAST_MS: f64 = 10.0;
const MOST_MS: f64 = 400_000.0;

/// a plot can't be written: {0}
#[derive(Debug, Display)]
pub struct Error(String);

impl std::error::Error for Error {}

fn failed(error: impl std::fmt::Display) -> Error {
    Error(error.to_string())
}

/// Draws the p95 of the time to first token by band, a line for each policy.
pub fn bands(path: &Path, all: &[Named]) -> Result<(), Error> {
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE).map_err(failed)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("time to first token by prompt length, p95", FONT)
        .margin(MARGIN_PIXELS)
        .x_label_area_size(LABELS_PIXELS)
        .y_label_area_size(LABELS_PIXELS)
        .build_cartesian_2d(
            0.0..(BANDS.len() - 1) as f64,
            (LEAST_MS..MOST_MS).log_scale(),
        )
        .map_err(failed)?;
    chart
        .configure_mesh()
        .x_labels(BANDS.len())
        .x_label_formatter(&|x| band_name(*x))
        .y_desc("milliseconds")
        .draw()
        .map_err(failed)?;
    for (number, named) in all.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let points = named.figures.first_token.iter().enumerate();
        let points = points.map(|(band, at)| (band as f64, (at.p95_ms as f64).max(LEAST_MS)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))
            .map_err(failed)?
            .label(named.name.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    legend::draw(&mut chart).map_err(failed)?;
    root.present().map_err(failed)
}

fn band_name(at: f64) -> String {
    let whole = (at - at.round()).abs() < f64::EPSILON;
    match BANDS.get(at.round() as usize) {
        Some((_, name)) if whole => (*name).to_string(),
        _ => String::new(),
    }
}

/// Draws each request's time to first token by its arrival, a colour for each band.
pub fn requests(
    path: &Path,
    title: &str,
    samples: &[Sample],
    options: &Options,
) -> Result<(), Error> {
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE).map_err(failed)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!("{title}: time to first token of each request"),
            FONT,
        )
        .margin(MARGIN_PIXELS)
        .x_label_area_size(LABELS_PIXELS)
        .y_label_area_size(LABELS_PIXELS)
        .build_cartesian_2d(0.0..options.run_s, (LEAST_MS..MOST_MS).log_scale())
        .map_err(failed)?;
    chart
        .configure_mesh()
        .x_desc("arrival, seconds")
        .y_desc("milliseconds")
        .draw()
        .map_err(failed)?;
    for (band, (_, name)) in BANDS.iter().enumerate() {
        let colour = Palette99::pick(band).to_rgba();
        let own = samples.iter().filter(|s| s.arrival.band() == band);
        let point = |s: &Sample| {
            let ms = figures::first_token_ms(s, options.time_scale)?;
            Some(Circle::new(
                (s.arrival.at_s, (ms as f64).max(LEAST_MS)),
                2,
                colour.filled(),
            ))
        };
        chart
            .draw_series(own.filter_map(point))
            .map_err(failed)?
            .label(*name)
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, colour.filled()));
    }
    legend::draw(&mut chart).map_err(failed)?;
    root.present().map_err(failed)
}
