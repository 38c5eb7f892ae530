//! Reports of simulations: a table, JSON and a plot.

use std::path::Path;

use plotters::prelude::*;
use serde::Serialize;

use crate::outcome::Outcome;
use crate::outcome::SlotUsage;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (960, 420);
/// Interval between two samples of slot usage.
const SAMPLE_S: f64 = 0.5;

/// The results of all simulations under one policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The policy.
    pub policy: &'static str,
    /// Number of simulations.
    #[serde(rename = "plays")]
    pub simulations: usize,
    /// Share of items completed in time: mean, minimum and maximum over the
    /// simulations.
    pub items_in_time: [f64; 3],
    /// Mean share of items that a clairvoyant scheduler completes in time.
    pub bound: f64,
    /// Mean share completed in time of the tenth of items with the longest run time.
    pub largest_in_time: f64,
    /// Mean share of online requests whose first event met the objective.
    pub online_in_time: f64,
    /// Mean number of item runs preempted per simulation.
    #[serde(rename = "cuts")]
    pub preemptions: f64,
    /// Mean number of requests and items per simulation sent to a target without a free
    /// slot.
    pub queued: f64,
}

impl Row {
    /// Aggregates the outcomes of simulations.
    pub fn new(policy: &'static str, outcomes: &[Outcome], objective_ms: u64) -> Self {
        let mean = |of: &dyn Fn(&Outcome) -> f64| {
            outcomes.iter().map(of).sum::<f64>() / outcomes.len().max(1) as f64
        };
        let in_time = outcomes.iter().map(Outcome::items_in_time);
        Self {
            policy,
            simulations: outcomes.len(),
            items_in_time: [
                mean(&Outcome::items_in_time),
                in_time.clone().fold(1.0, f64::min),
                in_time.fold(0.0, f64::max),
            ],
            bound: mean(&Outcome::bound_share),
            largest_in_time: mean(&Outcome::largest_in_time),
            online_in_time: mean(&|outcome| outcome.online_in_time(objective_ms)),
            preemptions: mean(&|outcome| outcome.preemptions as f64),
            queued: mean(&|outcome| outcome.queued as f64),
        }
    }
}

/// Returns the rows as a table.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "policy         runs  items in time (min, max)     bound  largest  online  preempted  queued\n",
    );
    for row in rows {
        let [mean, min, max] = row.items_in_time;
        text += &format!(
            "{:<13} {:>5}  {mean:.3} ({min:.3}, {max:.3})         {:.3}  {:.3}    {:.3}   {:>9.0}  {:>6.0}\n",
            row.policy,
            row.simulations,
            row.bound,
            row.largest_in_time,
            row.online_in_time,
            row.preemptions,
            row.queued,
        );
    }
    text
}

/// A series of the plot: its name, its colour and its value of a sample.
type Series = (&'static str, RGBColor, fn(&SlotUsage) -> f64);

/// Plots the slots in use over time as SVG.
///
/// # Errors
///
/// Returns the error of the drawing library, for example if the file cannot be
/// written.
pub fn plot(path: &Path, outcome: &Outcome) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = outcome.slot_usage.len() as f64 * SAMPLE_S;
    let max = outcome
        .slot_usage
        .iter()
        .map(|usage| usage.total)
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..seconds, 0.0..max * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("slots")
        .draw()?;
    let series: [Series; 3] = [
        ("items", BLUE, |usage| usage.items),
        ("online", RED, |usage| usage.online),
        ("all slots", BLACK, |usage| usage.total),
    ];
    for (name, colour, value) in series {
        let points = outcome.slot_usage.iter().zip(0..);
        let points = points.map(|(p, n)| (f64::from(n) * SAMPLE_S, value(p)));
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
