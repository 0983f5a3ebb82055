//! Chart of the burn rates.

use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use thiserror::Error;

use crate::{AlertLevel, BurnSnapshot, ObjectiveKind, PoolCounts};

const CHART_WIDTH_PX: u32 = 960;
const PANEL_HEIGHT_PX: u32 = 260;
const TITLE_HEIGHT_PX: u32 = 30;
/// Higher burn rates are drawn at the upper edge of the chart.
const MAX_DRAWN_BURN_RATE: f64 = 20.0;

/// An error of the drawing library.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the chart could not be drawn: {context}")]
pub struct ChartError {
    /// Error message of the drawing library.
    pub context: String,
}

type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

impl BurnSnapshot {
    /// Renders the burn rates of the last six hours as SVG, with one chart per pool.
    ///
    /// # Errors
    ///
    /// Returns an error if the drawing library fails.
    pub fn to_svg(&self) -> Result<String, ChartError> {
        let panel_count = self.pools.len().max(1) as u32;
        let mut svg = String::new();
        {
            let size = (
                CHART_WIDTH_PX,
                TITLE_HEIGHT_PX + panel_count * PANEL_HEIGHT_PX,
            );
            let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
            area.fill(&WHITE).map_err(chart_error)?;
            let title = format!("Burn rates of the last 6 hours, {} routers", self.routers);
            let area = area
                .titled(&title, ("sans-serif", 18))
                .map_err(chart_error)?;
            let panels = area.split_evenly((panel_count as usize, 1));
            for (pool, panel) in self.pools.iter().zip(&panels) {
                draw_pool(pool, panel)?;
            }
            area.present().map_err(chart_error)?;
        }
        Ok(svg)
    }
}

fn draw_pool(
    pool: &PoolCounts,
    panel: &DrawingArea<SVGBackend<'_>, Shift>,
) -> Result<(), ChartError> {
    let hours = hours_before_end(pool);
    let start = hours.first().copied().unwrap_or(-6.0).min(-0.5);
    let mut chart = ChartBuilder::on(panel)
        .caption(&pool.pool, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(44)
        .build_cartesian_2d(start..0.0, 0.0..MAX_DRAWN_BURN_RATE)
        .map_err(chart_error)?;
    chart
        .configure_mesh()
        .x_desc("hours")
        .y_desc("burn rate")
        .x_labels(7)
        .light_line_style(WHITE)
        .draw()
        .map_err(chart_error)?;
    draw_thresholds(&mut chart, start)?;
    for (index, kind) in ObjectiveKind::ALL.into_iter().enumerate() {
        draw_objective(&mut chart, pool, &hours, kind, index)?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()
        .map_err(chart_error)
}

/// Draws the burn rate threshold of each alert level.
fn draw_thresholds(chart: &mut Chart<'_, '_>, start: f64) -> Result<(), ChartError> {
    for level in [AlertLevel::Watch, AlertLevel::Ticket, AlertLevel::Page] {
        let Some((threshold, _, _)) = level.rule() else {
            continue;
        };
        let line = LineSeries::new([(start, threshold), (0.0, threshold)], BLACK.mix(0.4));
        chart.draw_series(line).map_err(chart_error)?;
        let style = ("sans-serif", 11).into_font().color(&BLACK.mix(0.7));
        let label = Text::new(level.to_string(), (start * 0.06, threshold + 1.4), style);
        chart.draw_series([label]).map_err(chart_error)?;
    }
    Ok(())
}

/// Draws the burn rate of an objective over time; `index` selects its color.
fn draw_objective(
    chart: &mut Chart<'_, '_>,
    pool: &PoolCounts,
    hours: &[f64],
    kind: ObjectiveKind,
    index: usize,
) -> Result<(), ChartError> {
    let goal = kind.goal(&pool.objective);
    let rates = pool
        .timeline
        .iter()
        .map(|point| point.counts.get(kind).burn_rate(goal));
    let points: Vec<_> = hours
        .iter()
        .zip(rates)
        .filter_map(|(&hour, rate)| Some((hour, rate?.min(MAX_DRAWN_BURN_RATE))))
        .collect();
    if points.is_empty() {
        return Ok(());
    }
    let style = Palette99::pick(index).stroke_width(2);
    chart
        .draw_series(LineSeries::new(points, style))
        .map_err(chart_error)?
        .label(kind.to_string())
        .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
    Ok(())
}

/// Returns the start of each timeline point in hours relative to the last one, as negative numbers.
fn hours_before_end(pool: &PoolCounts) -> Vec<f64> {
    let end = pool
        .timeline
        .last()
        .map(|point| point.start_ms)
        .unwrap_or_default();
    let hours = |start| -(end.since(start).as_secs_f64()) / 3_600.0;
    pool.timeline
        .iter()
        .map(|point| hours(point.start_ms))
        .collect()
}

fn chart_error<E>(error: E) -> ChartError
where
    E: std::fmt::Display,
{
    ChartError {
        context: error.to_string(),
    }
}
