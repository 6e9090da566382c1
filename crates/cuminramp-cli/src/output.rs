//! Tables for people, JSON for machines.

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use serde_json::Value;

/// Prints rows as a table with the named columns, or the whole value as JSON.
pub(crate) fn print_rows(json: bool, whole: &Value, rows: &Value, columns: &[&str]) {
    if json {
        return print_json(whole);
    }
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY).set_header(columns.to_vec());
    for row in rows.as_array().into_iter().flatten() {
        table.add_row(columns.iter().map(|column| cell(&row[*column])));
    }
    println!("{table}");
}

/// Prints a value as JSON.
pub(crate) fn print_json(value: &Value) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(" "),
        Value::Object(fields) => fields.values().map(cell).collect::<Vec<_>>().join("@"),
        other => other.to_string(),
    }
}
