//! Draws the plots of a page as SVG.

use crate::record::{Count, ReportError, Series};
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::{
    Cartesian2d, ChartBuilder, ChartContext, Circle, Color, DrawingArea, IntoDrawingArea,
    LineSeries, Palette, Palette99, PathElement, SVGBackend, SeriesLabelPosition, BLACK, WHITE,
};
use std::collections::BTreeMap;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (760, 380);
/// Space around a plot in pixels.
const MARGIN: u32 = 12;
/// Space for the labels of an axis, in pixels.
const LABEL_AREA: u32 = 56;
const MICROS_PER_SECOND: f64 = 1e6;
/// Number of equal steps from 0 to 100 percent in a curve.
const PERCENTILE_STEPS: u32 = 200;
/// Radius of a point in pixels.
const POINT_RADIUS: i32 = 4;

/// Draws the distribution of durations, as a cumulative curve for each series.
pub fn durations(title: &str, series: &[&Series]) -> Result<String, ReportError> {
    let max_seconds =
        series.iter().map(|s| s.durations.max()).max().unwrap_or(0) as f64 / MICROS_PER_SECOND;
    let mut svg = String::new();
    draw_durations(&mut svg, title, series, max_seconds)
        .map_err(|source| plot_error(title, source))?;
    Ok(svg)
}

fn draw_durations(
    svg: &mut String,
    title: &str,
    series: &[&Series],
    max_seconds: f64,
) -> DrawResult<()> {
    let area = drawing_area(svg, title)?;
    let range = 0.0..(max_seconds * 1.05).max(0.001);
    let mut builder = ChartBuilder::on(&area);
    builder
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA);
    let mut chart = builder.build_cartesian_2d(range, 0.0..100.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("percent of all")
        .draw()?;
    for (index, entry) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let point_at = |step: u32| {
            let percent = f64::from(step) * 100.0 / f64::from(PERCENTILE_STEPS);
            (
                entry.durations.value_at_percentile(percent) as f64 / MICROS_PER_SECOND,
                percent,
            )
        };
        let drawn = chart.draw_series(LineSeries::new(
            (0..=PERCENTILE_STEPS).map(point_at),
            color.stroke_width(2),
        ))?;
        drawn
            .label(&entry.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    draw_legend(&mut chart)?;
    area.present()?;
    Ok(())
}

/// Draws counts by size, as a line for each series.
pub fn counts(title: &str, counts: &[&Count]) -> Result<String, ReportError> {
    let mut svg = String::new();
    draw_counts(&mut svg, title, counts).map_err(|source| plot_error(title, source))?;
    Ok(svg)
}

fn draw_counts(svg: &mut String, title: &str, counts: &[&Count]) -> DrawResult<()> {
    let mut lines: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for count in counts {
        lines
            .entry(&count.series)
            .or_default()
            .push((count.size as f64, count.value));
    }
    let max_size = counts.iter().map(|count| count.size).max().unwrap_or(1) as f64;
    let max_value = counts.iter().map(|count| count.value).fold(0.0, f64::max);
    let area = drawing_area(svg, title)?;
    let mut builder = ChartBuilder::on(&area);
    builder
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA);
    let mut chart =
        builder.build_cartesian_2d(0.0..max_size * 1.05, 0.0..(max_value * 1.1).max(1.0))?;
    chart.configure_mesh().x_desc("size").draw()?;
    for (index, (name, points)) in lines.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let drawn = chart.draw_series(LineSeries::new(points.clone(), color.stroke_width(2)))?;
        drawn
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
        chart.draw_series(
            points
                .into_iter()
                .map(|point| Circle::new(point, POINT_RADIUS, color.filled())),
        )?;
    }
    draw_legend(&mut chart)?;
    area.present()?;
    Ok(())
}

/// An error of the plotting library.
pub type DrawingError = DrawingAreaErrorKind<std::io::Error>;
type DrawResult<T> = Result<T, DrawingError>;
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn drawing_area<'a>(svg: &'a mut String, title: &str) -> DrawResult<Area<'a>> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    area.titled(title, ("sans-serif", 20))
}

type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

fn draw_legend(chart: &mut Chart<'_>) -> DrawResult<()> {
    let mut labels = chart.configure_series_labels();
    labels
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.3))
        .position(SeriesLabelPosition::LowerRight);
    labels.draw()
}

fn plot_error(title: &str, source: DrawingError) -> ReportError {
    ReportError::Plot {
        title: title.to_owned(),
        source,
    }
}
