//! Measures of the benchmarks and their acceptable bounds.

use crate::types;
use miette::IntoDiagnostic as _;
use std::process;

/// Builder of a measure.
#[derive(Debug)]
pub struct MeasureBuilder {
    /// The measure.
    pub measure: types::BenchMeasure,
}

/// Creates a measure without bounds.
pub fn new_measure(name: &str, value: f64, unit: &str) -> MeasureBuilder {
    let measure = types::BenchMeasure {
        min_acceptable: None,
        max_acceptable: None,
        name: name.into(),
        unit: unit.into(),
        value,
    };
    MeasureBuilder { measure }
}

impl MeasureBuilder {
    /// Sets the minimum acceptable value.
    pub fn with_min(mut self, min: f64) -> Self {
        self.measure.min_acceptable = Some(min);
        self
    }

    /// Sets the maximum acceptable value.
    pub fn with_max(mut self, max: f64) -> Self {
        self.measure.max_acceptable = Some(max);
        self
    }
}

/// Prints a report as JSON or as a table; returns success if all measures are within bounds.
///
/// # Errors
///
/// Fails if the report cannot be written as JSON.
pub fn print_and_check(
    report: &types::BenchReport,
    json: bool,
) -> miette::Result<process::ExitCode> {
    if json {
        println!("{}", serde_json::to_string_pretty(report).into_diagnostic()?);
    } else {
        print(report);
    }
    let missed = report.measures.iter().any(is_missed);
    Ok(if missed { process::ExitCode::FAILURE } else { process::ExitCode::SUCCESS })
}

/// Whether a measure is outside its bounds.
fn is_missed(measure: &types::BenchMeasure) -> bool {
    measure.min_acceptable.is_some_and(|min| measure.value < min)
        || measure.max_acceptable.is_some_and(|max| measure.value > max)
}

fn print(report: &types::BenchReport) {
    for measure in &report.measures {
        let bound = match (measure.min_acceptable, measure.max_acceptable) {
            (Some(min), _) => format!("at least {min}"),
            (_, Some(max)) => format!("at most {max}"),
            _ => String::new(),
        };
        let missed = if is_missed(measure) { "MISSED" } else { "" };
        println!(
            "{:<36} {:>10.3} {:<9} {bound:<16} {missed}",
            measure.name, measure.value, measure.unit
        );
    }
}
