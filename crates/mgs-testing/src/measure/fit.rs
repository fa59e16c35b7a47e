//! A straight line through measured points.

use serde::Serialize;

/// A line fitted by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Value at no peers.
    pub intercept: f64,
    /// Growth per peer.
    pub slope_per_peer: f64,
    /// Standard error of the slope.
    pub error: f64,
}

impl Line {
    /// Fits points of a count and a value; there must be at least three counts that differ.
    ///
    /// ```
    /// use mgs_testing::measure::fit::Line;
    ///
    /// let line = Line::fit(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
    /// assert_eq!((line.intercept, line.slope_per_peer, line.error), (1.0, 2.0, 0.0));
    /// assert_eq!(line.at(10.0), 21.0);
    /// ```
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let shared = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let slope = shared.sum::<f64>() / spread;
        let intercept = mean_y - slope * mean_x;
        let residual = |(x, y): &(f64, f64)| (y - intercept - slope * x).powi(2);
        let residuals: f64 = points.iter().map(residual).sum();
        Self {
            intercept,
            slope_per_peer: slope,
            error: (residuals / (count - 2.0) / spread).sqrt(),
        }
    }

    /// The value at a count.
    pub fn at(&self, count: f64) -> f64 {
        self.intercept + self.slope_per_peer * count
    }
}
