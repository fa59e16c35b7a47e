//! The account as a drawing: the share of its worth that each kind lost, second by second.

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

/// Size of the drawing, in pixels.
const SIZE: (u32, u32) = (1_000, 420);

/// Shares lost, by kind and second.
type Shares = BTreeMap<String, BTreeMap<u64, (f64, f64)>>;

fn shares(account: &Account) -> Shares {
    let mut shares = Shares::new();
    for outcome in &account.outcomes {
        let of_kind = shares.entry(outcome.kind.clone()).or_default();
        let second = outcome.at_s.max(0.0) as u64;
        let (lost, units) = of_kind.entry(second).or_default();
        *lost += outcome.lost_units;
        *units += outcome.units;
    }
    shares
}

/// Draws it as SVG.
pub fn svg(account: &Account) -> Result<String, String> {
    let mut drawing = String::new();
    draw(account, &mut drawing).map_err(|error| error.to_string())?;
    Ok(drawing)
}

fn draw(account: &Account, drawing: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let shares = shares(account);
    let seconds = shares.values().flat_map(BTreeMap::keys);
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
    for (number, (kind, by_second)) in shares.iter().enumerate() {
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
