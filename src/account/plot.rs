//! Plots the share of worth that each kind of request lost, second by second.

use std::collections::BTreeMap;

use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::SVGBackend;
use plotters::style::BLACK;
use plotters::style::WHITE;

use super::Account;

/// Size of the image, in pixels.
const SIZE: (u32, u32) = (1_000, 420);

/// Lost units and total units, by kind and second.
type LossByKind = BTreeMap<String, BTreeMap<u64, (f64, f64)>>;

fn loss_by_kind(account: &Account) -> LossByKind {
    let mut loss_by_kind = LossByKind::new();
    for outcome in &account.outcomes {
        let by_second = loss_by_kind.entry(outcome.kind.clone()).or_default();
        let second = outcome.arrived_s.max(0.0) as u64;
        let (lost, units) = by_second.entry(second).or_default();
        *lost += outcome.lost_units;
        *units += outcome.units;
    }
    loss_by_kind
}

/// Renders the plot as SVG. An error is the text of the drawing library's error.
pub fn svg(account: &Account) -> Result<String, String> {
    let mut drawing = String::new();
    draw(account, &mut drawing).map_err(|error| error.to_string())?;
    Ok(drawing)
}

fn draw(account: &Account, drawing: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let loss_by_kind = loss_by_kind(account);
    let seconds = loss_by_kind.values().flat_map(BTreeMap::keys);
    let first_s = seconds.clone().min().copied().unwrap_or(0);
    let last_s = seconds.max().copied().unwrap_or(0) + 1;
    let area = SVGBackend::with_string(drawing, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(first_s as f64..last_s as f64, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds after the first line")
        .y_desc("share of worth lost")
        .draw()?;
    for (number, (kind, by_second)) in loss_by_kind.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let points = by_second
            .iter()
            .map(|(second, (lost, units))| (*second as f64, lost / units));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(kind.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 15, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    drop(chart);
    Ok(())
}
