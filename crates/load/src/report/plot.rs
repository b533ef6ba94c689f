//! SVG plot of the completed work over time, with one line for each team.

use std::path::Path;

use plotters::prelude::*;

use super::Report;

/// Width and height of the image, in pixels.
const SIZE: (u32, u32) = (960, 480);

/// Error of drawing or writing the plot.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("cannot write the plot: {0}")]
pub struct PlotError(String);

/// Writes the plot of a report.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn write_plot(report: &Report, path: &Path) -> Result<(), PlotError> {
    draw(report, path).map_err(|error| PlotError(error.to_string()))
}

fn draw(report: &Report, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let seconds = report.teams.iter().map(|team| team.done_ms.len()).max().unwrap_or(0).max(1);
    let values = report.teams.iter().flat_map(|team| &team.done_ms);
    let top = values.max().copied().unwrap_or(0).max(1) as f64 / 1_000.0;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(16)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..top * 1.1)?;
    chart.configure_mesh().x_desc("seconds").y_desc("slots of work done").draw()?;
    for (index, team) in report.teams.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = team.done_ms.iter().enumerate();
        let points = points.map(|(second, ms)| (second as f64 + 0.5, *ms as f64 / 1_000.0));
        let line = chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?;
        let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color.stroke_width(2));
        line.label(&team.team).legend(key);
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
