//! A straight line through measured points by least squares, its residuals, and whether the points bend.

use serde::Serialize;

/// The slopes of the upper and the lower half of the points differ by more than this factor where they bend,
const BEND_FACTOR: f64 = 1.5;
/// and the line misses a point by more than this part of the largest value.
const BEND_MISS: f64 = 0.05;
/// Points that each half of a line needs.
const LEAST_POINTS: usize = 4;

/// A measured quantity at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// `value = base + slope * size`, and how far each point lies off it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    pub base: f64,
    pub slope: f64,
    /// Measured less fitted, in the order of the points.
    pub residuals: Vec<f64>,
    /// Slope of the upper half of the points over that of the lower half, if the points bend.
    pub bend: Option<f64>,
}

impl Line {
    /// The value at another size. Outside the sizes measured it is an extrapolation.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }

    /// The largest distance of a point from the line.
    #[must_use]
    pub fn largest_residual(&self) -> f64 {
        self.residuals.iter().fold(0.0, |most, r| most.max(r.abs()))
    }
}

/// Base and slope by least squares; none if there are not two sizes.
fn least_squares(points: &[Point]) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|p| p.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|p| p.value).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
    if points.len() < 2 || spread <= 0.0 {
        return None;
    }
    let together: f64 = points.iter().map(|p| (p.size - mean_size) * (p.value - mean_value)).sum();
    let slope = together / spread;
    Some((mean_value - slope * mean_size, slope))
}

/// How the slope of the upper half of the points stands to that of the lower half. The middle point counts in both.
fn bend(points: &[Point], miss: f64) -> Option<f64> {
    if points.len() < LEAST_POINTS {
        return None;
    }
    let largest = points.iter().fold(0.0_f64, |most, p| most.max(p.value.abs()));
    if miss <= BEND_MISS * largest {
        return None;
    }
    let middle = points.len() / 2;
    let (_, lower) = least_squares(&points[..=middle])?;
    let (_, upper) = least_squares(&points[middle..])?;
    let ratio = upper / lower;
    let bends = !ratio.is_finite() || !(1.0 / BEND_FACTOR..=BEND_FACTOR).contains(&ratio);
    bends.then_some(ratio)
}

/// Fits a line to points in the order of their sizes; none if there are not two sizes.
#[must_use]
pub fn fit(points: &[Point]) -> Option<Line> {
    let (base, slope) = least_squares(points)?;
    let residuals = points.iter().map(|p| p.value - (base + slope * p.size)).collect();
    let mut line = Line { base, slope, residuals, bend: None };
    line.bend = bend(points, line.largest_residual());
    Some(line)
}
