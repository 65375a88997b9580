//! The settings table in docs/OPERATORS.md agrees with the schema.

use comfreyspread_schema::{setting, settings};

const PAGE: &str = include_str!("../../../docs/OPERATORS.md");

/// Returns the table line for a setting.
fn line(row: &setting::SettingRow) -> String {
    let flag = row.name.replace('_', "-");
    let allowed = match row.allowed {
        setting::AllowedValues::Text => "text".to_owned(),
        setting::AllowedValues::Choices(choices) => choices.join(", "),
        setting::AllowedValues::Range { min, max } => format!("{min} to {max}"),
    };
    let default = match row.default {
        Some("") => "empty",
        Some(text) => text,
        None => "required",
    };
    format!("| `--{flag}` | `{}` | {default} | {allowed} | {} |", row.variable, row.help)
}

#[test]
fn matching_rows() {
    let expected: Vec<_> = settings::SETTING_ROWS.iter().map(line).collect();
    let found: Vec<_> = PAGE.lines().filter(|line| line.starts_with("| `--")).collect();
    assert_eq!(found, expected, "put these lines into the table of docs/OPERATORS.md");
}
