//! Fits a straight line to measured points by least squares, and detects whether the points bend away from it.

use serde::Serialize;

/// Points bend only if the slopes of their upper and their lower half differ by more than this factor.
const BEND_FACTOR: f64 = 1.5;
/// Points bend only if the largest residual exceeds this share of the largest value.
const BEND_RESIDUAL_SHARE: f64 = 0.05;
/// Minimum number of points for the detection of a bend.
const MIN_BEND_POINTS: usize = 4;

/// The measured value of a quantity at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// The line `value = base + slope * size`, and the distance of each point from it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    pub base: f64,
    pub slope: f64,
    /// Measured minus fitted value, in the order of the points.
    pub residuals: Vec<f64>,
    /// If the points bend, the slope of their upper half divided by the slope of their lower half.
    pub bend: Option<f64>,
}

impl Line {
    /// Returns the value of the line at a size. Outside the measured sizes this is an extrapolation.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }

    /// Returns the largest absolute residual.
    #[must_use]
    pub fn largest_residual(&self) -> f64 {
        self.residuals.iter().fold(0.0, |largest, r| largest.max(r.abs()))
    }
}

/// Returns base and slope of the least-squares line, or `None` if there are fewer than two different sizes.
fn least_squares(points: &[Point]) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|p| p.value).sum::<f64>() / count;
    let size_variation: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
    if points.len() < 2 || size_variation <= 0.0 {
        return None;
    }
    let covariation: f64 = points.iter().map(|p| (p.size - mean_size) * (p.value - mean_value)).sum();
    let slope = covariation / size_variation;
    Some((mean_value - slope * mean_size, slope))
}

/// Returns the slope of the upper half of the points divided by that of the lower half, if the points bend. The middle
/// point belongs to both halves.
fn bend(points: &[Point], largest_residual: f64) -> Option<f64> {
    if points.len() < MIN_BEND_POINTS {
        return None;
    }
    let largest = points.iter().fold(0.0_f64, |largest, p| largest.max(p.value.abs()));
    if largest_residual <= BEND_RESIDUAL_SHARE * largest {
        return None;
    }
    let middle = points.len() / 2;
    let (_, lower) = least_squares(&points[..=middle])?;
    let (_, upper) = least_squares(&points[middle..])?;
    let ratio = upper / lower;
    let bends = !ratio.is_finite() || !(1.0 / BEND_FACTOR..=BEND_FACTOR).contains(&ratio);
    bends.then_some(ratio)
}

/// Fits a line to points, which must be in ascending order of size. Returns `None` if there are fewer than two
/// different sizes.
#[must_use]
pub fn fit(points: &[Point]) -> Option<Line> {
    let (base, slope) = least_squares(points)?;
    let residuals = points.iter().map(|p| p.value - (base + slope * p.size)).collect();
    let mut line = Line { base, slope, residuals, bend: None };
    line.bend = bend(points, line.largest_residual());
    Some(line)
}
