//! The legend of a plot.

use plotters::chart::ChartContext;
use plotters::coord::CoordTranslate;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::DrawingBackend;
use plotters::style::BLACK;
use plotters::style::WHITE;

/// Draws a framed box with the label of each series.
pub(crate) fn draw<'a, B, C>(
    chart: &mut ChartContext<'a, B, C>,
) -> Result<(), DrawingAreaErrorKind<B::ErrorType>>
where
    B: DrawingBackend + 'a,
    C: CoordTranslate,
{
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
}
