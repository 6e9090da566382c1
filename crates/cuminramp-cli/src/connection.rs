//! Client of the operator API of a daemon.

use std::fmt;
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_http::{CallTimeouts, HttpClient, read_body};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;

/// Timeout after which a call without a response head fails; reading the body may take as long again.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of a response body in bytes; with a larger one, the call fails.
const MAX_RESPONSE_BYTES: usize = 256 << 20;
/// Operator address used if none is given.
const DEFAULT_OPERATOR_ADDRESS: &str = "127.0.0.1:8081";
/// Environment variable that holds the operator token if none is given.
const TOKEN_ENV_VAR: &str = "CUMINRAMP_TOKEN";

/// Reason why a command failed; each variant has its own exit status.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// The command line, a file or the request is invalid.
    Input(String),
    /// Another change was applied first.
    Conflict(String),
    /// The daemon is unreachable, or responded that it is unavailable.
    Unreachable(String),
    /// Any other failure.
    Failed(String),
}

impl CommandError {
    /// Returns the exit status of the process.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Failed(_) => 1,
            CommandError::Input(_) => 2,
            CommandError::Conflict(_) => 3,
            CommandError::Unreachable(_) => 4,
        })
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Input(reason)
            | CommandError::Conflict(reason)
            | CommandError::Unreachable(reason)
            | CommandError::Failed(reason) => formatter.write_str(reason),
        }
    }
}

impl std::error::Error for CommandError {}

/// Client of one daemon's operator API.
pub(crate) struct OperatorClient {
    client: HttpClient,
    address: String,
    token: String,
}

impl OperatorClient {
    /// Creates a client of the daemon at `address`.
    ///
    /// Without an address it calls [`DEFAULT_OPERATOR_ADDRESS`]; without a token it reads
    /// [`TOKEN_ENV_VAR`].
    pub(crate) fn new(address: Option<String>, token: Option<String>) -> Self {
        let timeouts = CallTimeouts { connect: CALL_TIMEOUT, response_head: CALL_TIMEOUT };
        OperatorClient {
            client: HttpClient::new(timeouts),
            address: address.unwrap_or_else(|| DEFAULT_OPERATOR_ADDRESS.into()),
            token: token.or_else(|| std::env::var(TOKEN_ENV_VAR).ok()).unwrap_or_default(),
        }
    }

    /// Sends a GET request for `path` and returns the JSON body of the response.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, CommandError> {
        self.send(Method::GET, path, Bytes::new()).await
    }

    /// Sends a GET request for `path` and returns the body of the response as text, whatever its status.
    pub(crate) async fn get_text(&self, path: &str) -> Result<String, CommandError> {
        let response = self.exchange(Method::GET, path, Bytes::new()).await?;
        Ok(String::from_utf8_lossy(&response.body).into_owned())
    }

    /// Sends a request and returns the JSON body of the response.
    ///
    /// A refusal becomes an error whose message contains its code and every reason.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Value, CommandError> {
        let response = self.exchange(method, path, body).await?;
        let value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        if response.status.is_success() {
            Ok(value)
        } else {
            Err(refusal_error(response.status, &value))
        }
    }

    /// Sends a request and returns the response, whatever its status.
    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<OperatorResponse, CommandError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| CommandError::Input(error.to_string()))?;
        let unreachable =
            |reason: String| CommandError::Unreachable(format!("{}: {reason}", self.address));
        let response =
            self.client.send(request).await.map_err(|error| unreachable(error.to_string()))?;
        let status = response.status();
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES, CALL_TIMEOUT)
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        Ok(OperatorResponse { status, body })
    }
}

/// Status and unparsed body of a response.
struct OperatorResponse {
    status: StatusCode,
    body: Bytes,
}

/// Converts the JSON body of a refusal to an error; the status decides the kind of error.
fn refusal_error(status: StatusCode, body: &Value) -> CommandError {
    let code = body["error"]["cuminramp_code"].as_u64().unwrap_or_default();
    let name = body["error"]["code"].as_str().unwrap_or("Unknown");
    let message = body["error"]["message"].as_str().unwrap_or("the response contains no reason");
    let mut text = format!("{code} {name}: {message}");
    for error in body["details"]["faults"].as_array().into_iter().flatten() {
        let place = error["place"].as_str().unwrap_or_default();
        let reason = error["reason"].as_str().unwrap_or_default();
        text.push_str(&format!("\n  {place}: {reason}"));
    }
    for change in body["details"]["difference"].as_array().into_iter().flatten() {
        let field = |name: &str| change[name].as_str().unwrap_or_default().to_owned();
        text.push_str(&format!(
            "\n  would {} {} {}",
            field("change"),
            field("table"),
            field("name")
        ));
    }
    match status {
        StatusCode::CONFLICT => CommandError::Conflict(text),
        StatusCode::SERVICE_UNAVAILABLE => CommandError::Unreachable(text),
        status if status.is_client_error() => CommandError::Input(text),
        _ => CommandError::Failed(text),
    }
}
