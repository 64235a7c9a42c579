//! Output of result rows as JSON lines, as a table or as plots.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;

use plotters::prelude::*;
use serde::Serialize;

/// A result value.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the experiment, as in `experiment list`.
    pub experiment: &'static str,
    /// Policy or scenario that produced the value.
    pub policy: &'static str,
    /// Name of the metric, including its unit if it has one.
    pub metric: &'static str,
    /// Independent variable, such as load or number of nodes.
    pub x: f64,
    pub value: f64,
    /// Whether the value is extrapolated; left out of the JSON if false.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub extrapolated: bool,
}

/// Points `(x, value)` of each policy.
type Lines<'a> = BTreeMap<&'a str, Vec<(f64, f64)>>;

/// Prints one JSON object per line.
pub fn print_json(rows: &[Row]) {
    for row in rows {
        match serde_json::to_string(row) {
            Ok(line) => println!("{line}"),
            Err(error) => eprintln!("can't serialize {row:?}: {error}"),
        }
    }
}

pub fn print_table(rows: &[Row]) {
    println!(
        "{:22} {:22} {:>10} {:>14}",
        "metric", "policy", "x", "value"
    );
    for row in rows {
        let mark = if row.extrapolated {
            " (extrapolated)"
        } else {
            ""
        };
        let Row {
            metric,
            policy,
            x,
            value,
            ..
        } = row;
        println!("{metric:22} {policy:22} {x:>10.3} {value:>14.4}{mark}");
    }
}

/// Writes one SVG file per metric, with one line per policy.
///
/// # Errors
///
/// Fails if the directory cannot be created or a file cannot be written.
pub fn plot(rows: &[Row], dir: &Path) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(dir)?;
    let mut metrics: BTreeMap<&str, Lines<'_>> = BTreeMap::new();
    for row in rows {
        let lines = metrics.entry(row.metric).or_default();
        lines
            .entry(row.policy)
            .or_default()
            .push((row.x, row.value));
    }
    for (metric, lines) in &metrics {
        let name = rows.first().map_or("experiment", |r| r.experiment);
        plot_metric(&dir.join(format!("{name}-{metric}.svg")), metric, lines)?;
    }
    Ok(())
}

fn plot_metric(path: &Path, metric: &str, lines: &Lines<'_>) -> Result<(), Box<dyn Error>> {
    let points = || lines.values().flatten();
    let max_x = points().map(|p| p.0).fold(f64::MIN_POSITIVE, f64::max);
    let max_y = points()
        .map(|p| p.1)
        .filter(|y| y.is_finite())
        .fold(f64::MIN_POSITIVE, f64::max);
    let root = SVGBackend::new(path, (720, 440)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(metric, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..max_x * 1.05, 0.0..max_y * 1.1)?;
    chart.configure_mesh().draw()?;
    for (i, (policy, points)) in lines.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour))?
            .label(*policy)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
