//! Plots the service of each workspace over time, as SVG.

use std::path::Path;

use plotters::prelude::*;

use crate::load::report::Report;
use crate::load::report::WorkspaceReport;

/// Size of the image.
const SIZE_PX: (u32, u32) = (960, 480);

/// Draws the service per second of each workspace, divided by its weight.
pub fn draw(path: &Path, report: &Report) -> Result<(), String> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE).map_err(|e| e.to_string())?;
    let normalized = |w: &WorkspaceReport| {
        w.per_second.iter().map(|&n| n as f64 / w.weight).collect::<Vec<f64>>()
    };
    let top = report.workspaces.iter().flat_map(normalized).fold(1.0, f64::max);
    let seconds = report.seconds as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption("service by weight, cost units a second", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..seconds, 0.0..top * 1.05)
        .map_err(|e| e.to_string())?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(|e| e.to_string())?;
    for (i, w) in report.workspaces.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let points = normalized(w).into_iter().enumerate().map(|(s, n)| (s as f64, n));
        let points: Vec<_> = points.take(report.seconds as usize).collect();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .map_err(|e| e.to_string())?
            .label(&w.workspace)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|e| e.to_string())?;
    root.present().map_err(|e| e.to_string())
}
