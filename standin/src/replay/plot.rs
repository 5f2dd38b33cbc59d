//! Plots of a replay: time to first token and hit rate over time, a line for each policy.

use std::path::Path;

use plotters::prelude::*;

use super::faults::Fault;
use super::figures::{Figures, Second};
use super::generate::Kind;
use super::policy::Policy;

const SIZE: (u32, u32) = (960, 540);
/// Seconds over which a point is averaged.
const WINDOW_S: u64 = 3;

/// Draws both plots into `folder`, of the first seed.
pub fn draw(
    folder: &Path,
    kind: Kind,
    fault: Fault,
    rows: &[(Policy, Vec<Figures>)],
) -> eyre::Result<()> {
    let name =
        |figure: &str| folder.join(format!("{}-{}-{figure}.svg", kind.as_str(), fault.as_str()));
    let first_token = |second: &Second| second.first_token_ms / second.answers.max(1) as f64;
    lines(&name("first-token"), "mean time to first token, ms", rows, first_token)?;
    let hits =
        |second: &Second| 100.0 * second.cached_tokens as f64 / second.prompt_tokens.max(1) as f64;
    lines(&name("hit-rate"), "prefix hit rate, % of prompt tokens", rows, hits)
}

fn lines(
    path: &Path,
    title: &str,
    rows: &[(Policy, Vec<Figures>)],
    figure: impl Fn(&Second) -> f64,
) -> eyre::Result<()> {
    let series: Vec<(Policy, Vec<(f64, f64)>)> = rows
        .iter()
        .filter_map(|(policy, figures)| Some((*policy, points(figures.first()?, &figure))))
        .collect();
    let all = || series.iter().flat_map(|(_, points)| points);
    let (right, top) =
        all().fold((1.0, 1.0), |(x, y): (f64, f64), point| (x.max(point.0), y.max(point.1)));
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..right, 0.0..top * 1.05)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (index, (policy, points)) in series.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(policy.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

fn points(figures: &Figures, figure: &impl Fn(&Second) -> f64) -> Vec<(f64, f64)> {
    let mut windows: std::collections::BTreeMap<u64, Second> = std::collections::BTreeMap::new();
    for (at, second) in &figures.seconds {
        let window = windows.entry(at / WINDOW_S).or_default();
        window.first_token_ms += second.first_token_ms;
        window.answers += second.answers;
        window.prompt_tokens += second.prompt_tokens;
        window.cached_tokens += second.cached_tokens;
    }
    windows.iter().map(|(at, window)| ((at * WINDOW_S) as f64, figure(window))).collect()
}
