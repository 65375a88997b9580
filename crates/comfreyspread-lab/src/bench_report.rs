//! Figures of the benchmarks and their bounds.

use crate::types;
use miette::IntoDiagnostic as _;
use std::process;

/// A figure that is being described.
#[derive(Debug)]
pub struct BenchFigure {
    /// The figure.
    pub measure: types::BenchMeasure,
}

/// Describes a figure without bounds.
pub fn measure(name: &str, value: f64, unit: &str) -> BenchFigure {
    let measure = types::BenchMeasure {
        min_acceptable: None,
        max_acceptable: None,
        name: name.into(),
        unit: unit.into(),
        value,
    };
    BenchFigure { measure }
}

impl BenchFigure {
    /// Sets the least value that is good enough.
    pub fn with_least(mut self, least: f64) -> Self {
        self.measure.min_acceptable = Some(least);
        self
    }

    /// Sets the greatest value that is good enough.
    pub fn with_most(mut self, most: f64) -> Self {
        self.measure.max_acceptable = Some(most);
        self
    }
}

/// Prints a report, as JSON or as a table; returns success if no bound is missed.
///
/// # Errors
///
/// Fails if the report cannot be written as JSON.
pub fn finish(report: &types::BenchReport, json: bool) -> miette::Result<process::ExitCode> {
    if json {
        println!("{}", serde_json::to_string_pretty(report).into_diagnostic()?);
    } else {
        print(report);
    }
    let missed = report.measures.iter().any(is_missed);
    Ok(if missed { process::ExitCode::FAILURE } else { process::ExitCode::SUCCESS })
}

/// Whether a figure is beyond its bounds.
fn is_missed(measure: &types::BenchMeasure) -> bool {
    measure.min_acceptable.is_some_and(|least| measure.value < least)
        || measure.max_acceptable.is_some_and(|most| measure.value > most)
}

fn print(report: &types::BenchReport) {
    for measure in &report.measures {
        let bound = match (measure.min_acceptable, measure.max_acceptable) {
            (Some(least), _) => format!("at least {least}"),
            (_, Some(most)) => format!("at most {most}"),
            _ => String::new(),
        };
        let missed = if is_missed(measure) { "MISSED" } else { "" };
        println!(
            "{:<36} {:>10.3} {:<9} {bound:<16} {missed}",
            measure.name, measure.value, measure.unit
        );
    }
}
