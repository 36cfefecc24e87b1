//! Tables and plots of a comparison.

use std::path::Path;

use anyhow::{anyhow, Result};
use plotters::prelude::*;

use crate::row::Row;

/// Width and height of a plot.
const SIZE_PIXELS: (u32, u32) = (960, 420);

/// Prints rows as a table.
pub fn print_table(rows: &[Row]) {
    println!(
        "{:<14}{:>6}{:>7}{:>9}{:>9}{:>9}{:>9}{:>8}{:>7}{:>7}{:>20}{:>16}{:>8}",
        "policy",
        "load",
        "sent",
        "answered",
        "goodput",
        "ceiling",
        "of it",
        "wasted",
        "lost",
        "worst",
        "first p50/95/99 ms",
        "between ms",
        "took s"
    );
    for row in rows {
        let percentiles = |percentiles: &crate::row::Percentiles| {
            format!(
                "{}/{}/{}",
                percentiles.p50, percentiles.p95, percentiles.p99
            )
        };
        println!(
            "{:<14}{:>6.2}{:>7}{:>9}{:>9.3}{:>9.3}{:>9.3}{:>7.2}%{:>7}{:>7.2}{:>20}{:>16}{:>8.1}",
            row.policy,
            row.load,
            row.sent,
            row.answered,
            row.goodput,
            row.ceiling,
            row.goodput / row.ceiling.max(f64::MIN_POSITIVE),
            row.wasted * 100.0,
            row.lost,
            row.worst_client,
            percentiles(&row.first),
            percentiles(&row.between),
            row.took,
        );
        let unexpected = row.wrong + row.doubled + (row.calls - row.calls_right);
        println!(
            "{:>20} by try {:.3}, cached {:.3}, tries {}, refused {:?}, plain {}/{}, wrong {}, doubled {}{}",
            "",
            row.by_try,
            row.cached,
            row.tries,
            row.refused,
            row.calls_right,
            row.calls,
            row.wrong,
            row.doubled,
            if unexpected > 0 { " (!)" } else { "" },
        );
    }
}

/// Draws goodput and wasted prefill against the offered load into an SVG file.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw_svg(rows: &[Row], path: &Path) -> Result<()> {
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE).map_err(|error| anyhow!("{error}"))?;
    let halves = root.split_evenly((1, 2));
    draw_chart(
        &halves[0],
        rows,
        "Goodput share by offered load",
        1.0,
        |row| row.goodput,
    )?;
    let max = rows.iter().map(|row| row.wasted).fold(0.01, f64::max);
    draw_chart(
        &halves[1],
        rows,
        "Wasted prefill share by offered load",
        max,
        |row| row.wasted,
    )?;
    root.present().map_err(|error| anyhow!("{error}"))
}

/// Draws one chart with a line for each policy.
fn draw_chart<T: DrawingBackend>(
    area: &DrawingArea<T, plotters::coord::Shift>,
    rows: &[Row],
    title: &str,
    max: f64,
    value: impl Fn(&Row) -> f64,
) -> Result<()>
where
    T::ErrorType: 'static,
{
    let to_error = |error: DrawingAreaErrorKind<T::ErrorType>| anyhow!("{error}");
    let loads = rows.iter().map(|row| row.load);
    let (low, high) = loads.fold((f64::MAX, 0.0), |(low, high), load| {
        (load.min(low), load.max(high))
    });
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(44)
        .build_cartesian_2d(low..high.max(low + 0.1), 0.0..max * 1.05)
        .map_err(to_error)?;
    chart.configure_mesh().draw().map_err(to_error)?;
    let mut names = rows.iter().map(|row| &row.policy).collect::<Vec<_>>();
    names.sort();
    names.dedup();
    for (number, name) in names.into_iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let points = rows.iter().filter(|row| row.policy == *name);
        let points = points.map(|row| (row.load, value(row)));
        let series = LineSeries::new(points, &color).point_size(3);
        chart
            .draw_series(series)
            .map_err(to_error)?
            .label(name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()
        .map_err(to_error)
}
