//! Linear regression by least squares.

/// Line fitted to measured points.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    pub(crate) slope: f64,
    pub(crate) intercept: f64,
    /// Coefficient of determination, 0 to 1; 1 if all x or all y are equal.
    pub(crate) r2: f64,
}

/// Fits a line. The slope is 0 if all x are equal.
pub(crate) fn fit(points: &[(f64, f64)]) -> Line {
    let count: f64 = points.iter().map(|_| 1.0).sum();
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sxx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let sxy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let syy: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let slope = if sxx > 0.0 { sxy / sxx } else { 0.0 };
    let r2 = if sxx > 0.0 && syy > 0.0 { sxy * sxy / (sxx * syy) } else { 1.0 };
    Line { slope, intercept: mean_y - slope * mean_x, r2 }
}
