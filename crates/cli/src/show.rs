//! Answers as text for people.

use std::fmt::Write as _;

use serde_json::Value;

use crate::args::Command;

/// Returns what a command prints.
pub(crate) fn text(command: &Command, value: &Value) -> String {
    match command {
        Command::Check { .. } => format!("valid, digest {}\n", plain(&value["digest"])),
        Command::Publish { .. } => format!(
            "proposed version {}, digest {}\n",
            plain(&value["version"]),
            plain(&value["digest"])
        ),
        Command::SignOff { .. } => format!("version {} is in force\n", plain(&value["version"])),
        Command::Bundle => format!("{value:#}\n"),
        Command::History => table(
            &value["events"],
            &["offset", "version", "author", "outcome"],
        ),
        Command::Hosts => hosts(&value["hosts"]),
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
            format!("{} is {}\n", plain(&value["id"]), plain(&value["state"]))
        }
        Command::Drain { .. } => format!("{} is leaving\n", plain(&value["draining"])),
    }
}

fn hosts(hosts: &Value) -> String {
    let mut rows = Vec::new();
    for host in hosts.as_array().into_iter().flatten() {
        let report = &host["report"];
        let mut row = host.clone();
        for name in ["bundle_version", "ready", "in_flight"] {
            row[name] = report[name].clone();
        }
        rows.push(row);
    }
    let names = [
        "host",
        "health",
        "leaving",
        "ready",
        "bundle_version",
        "in_flight",
    ];
    table(&Value::Array(rows), &names)
}

fn table(rows: &Value, names: &[&str]) -> String {
    let head: Vec<String> = names.iter().map(|n| n.to_uppercase()).collect();
    let mut lines = vec![head];
    for row in rows.as_array().into_iter().flatten() {
        lines.push(names.iter().map(|n| plain(&row[*n])).collect());
    }
    let width = |column: usize| lines.iter().map(|l| l[column].chars().count()).max();
    let widths: Vec<usize> = (0..names.len()).map(|c| width(c).unwrap_or(0)).collect();
    let mut out = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths);
        let cells: Vec<String> = cells.map(|(cell, w)| format!("{cell:w$}")).collect();
        // Writing to a string does not fail.
        let _ = writeln!(out, "{}", cells.join("  ").trim_end());
    }
    out
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        Value::Array(all) => all.iter().map(plain).collect::<Vec<_>>().join(","),
        Value::Object(all) => {
            let pairs = all.iter().map(|(k, v)| format!("{k}={}", plain(v)));
            pairs.collect::<Vec<_>>().join(" ")
        }
        other => other.to_string(),
    }
}
