//! Human-readable output of responses.

use std::fmt::Write as _;

use serde_json::Value;

use crate::args::Command;

/// Returns the text that a command prints.
pub(crate) fn render(command: &Command, value: &Value) -> String {
    match command {
        Command::Check { .. } => format!("valid, digest {}\n", format_value(&value["digest"])),
        Command::Publish { .. } => format!(
            "proposed version {}, digest {}\n",
            format_value(&value["version"]),
            format_value(&value["digest"])
        ),
        Command::SignOff { .. } => {
            format!("version {} is in force\n", format_value(&value["version"]))
        }
        Command::Bundle => format!("{value:#}\n"),
        Command::History => table(
            &value["events"],
            &["offset", "version", "author", "outcome"],
        ),
        Command::Hosts => hosts_table(&value["hosts"]),
        Command::Targets => table(
            &value["targets"],
            &[
                "target",
                "data_centre",
                "leaving",
                "answers",
                "holder",
                "holds",
            ],
        ),
        Command::Jobs => table(&value["jobs"], &["id", "tenant", "state", "counts"]),
        Command::Cancel { .. } => {
            format!(
                "{} is {}\n",
                format_value(&value["id"]),
                format_value(&value["state"])
            )
        }
        Command::Drain { .. } => format!("{} is leaving\n", format_value(&value["draining"])),
    }
}

fn hosts_table(hosts: &Value) -> String {
    let mut rows = Vec::new();
    for host in hosts.as_array().into_iter().flatten() {
        let report = &host["report"];
        let mut row = host.clone();
        for column in ["bundle_version", "ready", "in_flight"] {
            row[column] = report[column].clone();
        }
        rows.push(row);
    }
    let columns = [
        "host",
        "health",
        "leaving",
        "ready",
        "bundle_version",
        "in_flight",
    ];
    table(&Value::Array(rows), &columns)
}

fn table(rows: &Value, columns: &[&str]) -> String {
    let header: Vec<String> = columns.iter().map(|n| n.to_uppercase()).collect();
    let mut lines = vec![header];
    for row in rows.as_array().into_iter().flatten() {
        lines.push(columns.iter().map(|n| format_value(&row[*n])).collect());
    }
    let width = |column: usize| lines.iter().map(|l| l[column].chars().count()).max();
    let widths: Vec<usize> = (0..columns.len()).map(|c| width(c).unwrap_or(0)).collect();
    let mut out = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths);
        let cells: Vec<String> = cells.map(|(cell, w)| format!("{cell:w$}")).collect();
        // Writing to a string does not fail.
        let _ = writeln!(out, "{}", cells.join("  ").trim_end());
    }
    out
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        Value::Array(all) => all.iter().map(format_value).collect::<Vec<_>>().join(","),
        Value::Object(all) => {
            let pairs = all.iter().map(|(k, v)| format!("{k}={}", format_value(v)));
            pairs.collect::<Vec<_>>().join(" ")
        }
        other => other.to_string(),
    }
}
