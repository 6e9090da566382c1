//! Parser of a job's input, a file of JSON lines.

use cuminramp_core::{Refusal, ResultCode};
use serde::Deserialize;
use serde_json::Value;

/// The only endpoint that batch items may call.
const ALLOWED_URL: &str = "/v1/chat/completions";
/// Maximum length, in characters, of the `custom_id` that is copied from an invalid line into its
/// error.
const MAX_ID_CHARS: usize = 128;

/// One request of a batch job.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchItem {
    /// Identifier that the caller gave the item.
    pub custom_id: String,
    /// Name of the requested model.
    pub model: String,
    /// Request body to send to the target, without `stream`.
    pub body: Value,
}

/// Error of an input line that is invalid and is not run.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemError {
    /// Identifier that the caller gave the item, or `line-` and the line number if it has none.
    pub custom_id: String,
    /// Refusal that is reported to the caller.
    pub refusal: Refusal,
}

#[derive(Deserialize)]
struct InputLine {
    custom_id: String,
    method: String,
    url: String,
    body: Value,
}

/// Parses one input line; `number` is its line number, from 1.
///
/// ```
/// let line = r#"{"custom_id": "a", "method": "POST", "url": "/v1/chat/completions", "body": {"model": "m"}}"#;
/// assert_eq!(cuminramp_batch::parse_line(line, 1).unwrap().model, "m");
/// assert_eq!(cuminramp_batch::parse_line("{", 7).unwrap_err().custom_id, "line-7");
/// ```
pub fn parse_line(line: &str, number: usize) -> Result<BatchItem, ItemError> {
    let item_error = |custom_id: String, reason: String| ItemError {
        custom_id,
        refusal: Refusal::not_run(ResultCode::LineMalformed, format!("line {number}: {reason}")),
    };
    let fallback_id = format!("line-{number}");
    let value: Value = serde_json::from_str(line)
        .map_err(|error| item_error(fallback_id.clone(), error.to_string()))?;
    let given_id = value.get("custom_id").and_then(Value::as_str);
    let custom_id: String = given_id.unwrap_or(&fallback_id).chars().take(MAX_ID_CHARS).collect();
    let input: InputLine = serde_json::from_value(value)
        .map_err(|error| item_error(custom_id.clone(), error.to_string()))?;
    if input.method != "POST" || input.url != ALLOWED_URL {
        let reason = format!("only POST {ALLOWED_URL} is supported");
        return Err(item_error(custom_id, reason));
    }
    let Some(model) = input.body.get("model").and_then(Value::as_str) else {
        return Err(item_error(custom_id, "the body has no model".into()));
    };
    let model = model.to_owned();
    let mut body = input.body;
    // An item has a single result in the output file, so its response must not be a stream.
    if let Some(fields) = body.as_object_mut() {
        fields.remove("stream");
    }
    Ok(BatchItem { custom_id: input.custom_id, model, body })
}

/// Parses all lines of `text`, of which the first has line number `first`.
///
/// Blank lines are skipped, but they count in the line numbers.
pub fn parse_input(text: &str, first: usize) -> Vec<Result<BatchItem, ItemError>> {
    let lines = text.lines().enumerate();
    lines
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| parse_line(line, first + index))
        .collect()
}

#[cfg(test)]
mod tests;
