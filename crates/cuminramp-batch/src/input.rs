//! The file of JSON lines that a job is made of.

use cuminramp_core::{Refusal, ResultCode};
use serde::Deserialize;
use serde_json::Value;

/// The endpoint that batch items may ask for.
const ALLOWED_URL: &str = "/v1/chat/completions";
/// Characters of a bad line's identifier that are kept.
const MOST_ID_CHARS: usize = 128;

/// One request of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchItem {
    /// The caller's name for it.
    pub custom_id: String,
    /// The model it asks for.
    pub model: String,
    /// The body to send.
    pub body: Value,
}

/// A line that can't run, with what is known of its name.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemError {
    /// The caller's name for it, or the line's number.
    pub custom_id: String,
    /// What is wrong.
    pub refusal: Refusal,
}

#[derive(Deserialize)]
struct InputLine {
    custom_id: String,
    method: String,
    url: String,
    body: Value,
}

/// Reads one line; `number` counts from 1.
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
    let nameless = format!("line-{number}");
    let value: Value = serde_json::from_str(line)
        .map_err(|error| item_error(nameless.clone(), error.to_string()))?;
    let named = value.get("custom_id").and_then(Value::as_str);
    let custom_id: String = named.unwrap_or(&nameless).chars().take(MOST_ID_CHARS).collect();
    let input: InputLine = serde_json::from_value(value)
        .map_err(|error| item_error(custom_id.clone(), error.to_string()))?;
    if input.method != "POST" || input.url != ALLOWED_URL {
        let reason = format!("only POST {ALLOWED_URL} can be asked for");
        return Err(item_error(custom_id, reason));
    }
    let Some(model) = input.body.get("model").and_then(Value::as_str) else {
        return Err(item_error(custom_id, "the body names no model".into()));
    };
    let model = model.to_owned();
    let mut body = input.body;
    // A batch item has one result, not a stream.
    if let Some(fields) = body.as_object_mut() {
        fields.remove("stream");
    }
    Ok(BatchItem { custom_id: input.custom_id, model, body })
}

/// Reads all lines of a text, the first with number `first`; empty lines are passed over but
/// counted.
pub fn parse_input(text: &str, first: usize) -> Vec<Result<BatchItem, ItemError>> {
    let lines = text.lines().enumerate();
    lines
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| parse_line(line, first + index))
        .collect()
}

#[cfg(test)]
mod tests;
