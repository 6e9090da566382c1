//! Output of commands as tables or as JSON.

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use serde_json::Value;

/// Prints `rows` as a table with the given columns, or the complete `response` if `json` is set.
pub(crate) fn print_rows(json: bool, response: &Value, rows: &Value, columns: &[&str]) {
    if json {
        return print_json(response);
    }
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY).set_header(columns.to_vec());
    for row in rows.as_array().into_iter().flatten() {
        table.add_row(columns.iter().map(|column| format_cell(&row[*column])));
    }
    println!("{table}");
}

/// Prints a value as indented JSON.
pub(crate) fn print_json(value: &Value) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Formats a value for a table cell: arrays are joined by spaces, the values of objects by `@`.
fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(format_cell).collect::<Vec<_>>().join(" "),
        Value::Object(fields) => fields.values().map(format_cell).collect::<Vec<_>>().join("@"),
        other => other.to_string(),
    }
}
