//! What plays say: a table, JSON and a plot.

use std::path::Path;

use plotters::prelude::*;
use serde::Serialize;

use crate::outcome::InUse;
use crate::outcome::Outcome;

/// Size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (960, 420);
/// Time of one point of it.
const POINT_S: f64 = 0.5;

/// The figures of all plays under one policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The policy.
    pub policy: &'static str,
    /// Plays.
    pub plays: usize,
    /// Share of items in time, in the mean, the least and the most.
    pub items_in_time: [f64; 3],
    /// The same of a clairvoyant order, in the mean.
    pub bound: f64,
    /// Share of the largest tenth in time.
    pub largest_in_time: f64,
    /// Share of online requests in time.
    pub online_in_time: f64,
    /// Runs cut in a play.
    pub cuts: f64,
    /// Arrivals without a free place in a play.
    pub queued: f64,
}

impl Row {
    /// Sums plays up.
    pub fn new(policy: &'static str, plays: &[Outcome], objective_ms: u64) -> Self {
        let mean = |of: &dyn Fn(&Outcome) -> f64| {
            plays.iter().map(of).sum::<f64>() / plays.len().max(1) as f64
        };
        let in_time = plays.iter().map(Outcome::items_in_time);
        Self {
            policy,
            plays: plays.len(),
            items_in_time: [
                mean(&Outcome::items_in_time),
                in_time.clone().fold(1.0, f64::min),
                in_time.fold(0.0, f64::max),
            ],
            bound: mean(&Outcome::bound_share),
            largest_in_time: mean(&Outcome::largest_in_time),
            online_in_time: mean(&|play| play.online_in_time(objective_ms)),
            cuts: mean(&|play| play.cuts as f64),
            queued: mean(&|play| play.queued as f64),
        }
    }
}

/// Returns the rows as a table.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "policy        plays  items in time (least, most)  bound  largest  online   cuts  queued\n",
    );
    for row in rows {
        let [mean, least, most] = row.items_in_time;
        text += &format!(
            "{:<13} {:>5}  {mean:.3} ({least:.3}, {most:.3})         {:.3}  {:.3}    {:.3}  {:>5.0}  {:>6.0}\n",
            row.policy,
            row.plays,
            row.bound,
            row.largest_in_time,
            row.online_in_time,
            row.cuts,
            row.queued,
        );
    }
    text
}

/// A line of the plot: its name, its colour and its value at a point.
type Line = (&'static str, RGBColor, fn(&InUse) -> f64);

/// Draws the places in use over time.
///
/// # Errors
///
/// Returns what the drawing library says, for one if the file cannot be written.
pub fn plot(path: &Path, play: &Outcome) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = play.places.len() as f64 * POINT_S;
    let most = play.places.iter().map(|p| p.all).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..seconds, 0.0..most * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("places")
        .draw()?;
    let lines: [Line; 3] = [
        ("items", BLUE, |p| p.items),
        ("online", RED, |p| p.online),
        ("all places", BLACK, |p| p.all),
    ];
    for (name, colour, value) in lines {
        let points = play.places.iter().zip(0..);
        let points = points.map(|(p, n)| (f64::from(n) * POINT_S, value(p)));
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
