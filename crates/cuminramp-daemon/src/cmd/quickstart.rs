//! `cuminrampd quickstart`.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use cuminramp_daemon::{Daemon, DaemonAddresses, PlatformInterfaces, start_logging};
use cuminramp_http::{CallTimeouts, HttpClient, read_body};
use cuminramp_standin::{Engine, EngineSettings, MemoryPlatform, PlatformSettings};
use http::{Method, Request};
use http_body_util::Full;
use serde_json::{Value, json};

use crate::cmd::{EXIT_SETTINGS, load_settings, parse_text, wait_for_signal};
use crate::flags;

/// Default settings, used if no file is given.
const DEFAULT_SETTINGS: &str = include_str!("../../../../examples/quickstart.jsonc");
/// Number of stand-in engines.
const ENGINE_COUNT: usize = 3;
/// Maximum number of checks whether the operator API of the daemon is up.
const MAX_READY_CHECKS: u32 = 100;
/// Interval between those checks.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size in bytes of a response of the operator API.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Runs a daemon on embedded stand-ins for the platform and engines, and prints commands that use it.
pub(crate) async fn execute(flags: flags::Quickstart) -> ExitCode {
    let settings = match &flags.settings {
        Some(path) => load_settings(path),
        None => parse_text(DEFAULT_SETTINGS, "examples/quickstart.jsonc"),
    };
    let settings = match settings {
        Ok(settings) => settings,
        Err(status) => return status,
    };
    start_logging(&settings.log_level);
    let platform = Arc::new(MemoryPlatform::new(PlatformSettings::default()));
    let interfaces =
        PlatformInterfaces { table: platform.clone(), objects: platform.clone(), hosts: platform };
    let daemon = match Daemon::start_with(settings, interfaces).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let engines = match set_up(daemon.addresses()).await {
        Ok(engines) => engines,
        Err(error) => {
            eprintln!("cuminrampd: {error}");
            return ExitCode::FAILURE;
        }
    };
    wait_for_signal().await;
    daemon.leave().await;
    drop(engines);
    ExitCode::SUCCESS
}

/// Starts the engines, declares them, grants a key and prints commands to try.
async fn set_up(addresses: DaemonAddresses) -> Result<Vec<Engine>, Box<dyn Error>> {
    let mut engines = Vec::new();
    for _ in 0..ENGINE_COUNT {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        engines.push(Engine::start(listen, EngineSettings::default()).await?);
    }
    let operator = OperatorClient::new(addresses.operator);
    operator.wait_until_up().await?;
    operator.send(Method::PUT, "/operator/declarations", &declarations(&engines)).await?;
    let grant = json!({"team": "parish-desk", "label": "quickstart"});
    let granted = operator.send(Method::POST, "/operator/keys", &grant).await?;
    let key = granted["key"].as_str().ok_or("the response holds no key")?;
    print_examples(addresses, key);
    Ok(engines)
}

fn declarations(engines: &[Engine]) -> Value {
    let targets: Vec<Value> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| {
            json!({"name": format!("engine-{index}"), "address": engine.address().to_string()})
        })
        .collect();
    let service = engines[0].address().to_string();
    json!({
        "routes": [
            {"name": "chat", "model": "villancico-llm", "pool": "gt-engines"},
            {"name": "bookings", "path-prefix": "/bookings", "pool": "gt-bookings"},
        ],
        "pools": [
            {"name": "gt-engines", "kind": "engines", "targets": targets},
            {"name": "gt-bookings", "kind": "services", "targets": [{"name": "booking-desk", "address": service}]},
        ],
        "teams": [{"name": "parish-desk", "rate": 50, "burst": 100}],
    })
}

fn print_examples(addresses: DaemonAddresses, key: &str) {
    let caller = addresses.caller;
    let chat = r#"{"model":"villancico-llm","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Which seats are free?"}]}"#;
    let item = r#"{"custom_id":"card-1","method":"POST","url":"/v1/chat/completions","body":{"model":"villancico-llm","messages":[{"role":"user","content":"A greeting for Ana"}]}}"#;
    println!("\ncuminramp is up: callers at {caller}, operators at {}\n", addresses.operator);
    println!("key={key}\n");
    println!(
        "Online:\n  curl -sN http://{caller}/v1/chat/completions -H 'Authorization: Bearer {key}' -d '{chat}'\n"
    );
    println!("Batch:");
    println!("  echo '{item}' > /tmp/items.jsonl");
    println!(
        "  file=$(curl -s http://{caller}/v1/files -H 'Authorization: Bearer {key}' -F purpose=batch -F file=@/tmp/items.jsonl | grep -o 'file-[0-9a-f]*' | head -1)"
    );
    println!(
        "  job=$(curl -s http://{caller}/v1/batches -H 'Authorization: Bearer {key}' -d \"{{\\\"input_file_id\\\":\\\"$file\\\",\\\"endpoint\\\":\\\"/v1/chat/completions\\\"}}\" | grep -o 'batch_[0-9a-f]*' | head -1)"
    );
    println!(
        "  sleep 3; curl -s http://{caller}/v1/files/file-${{job#batch_}}-output/content -H 'Authorization: Bearer {key}'\n"
    );
    println!(
        "Operators:\n  cargo run --release --bin cuminramp -- --operator {} show\n",
        addresses.operator
    );
}

/// Client of the operator API of the started daemon.
struct OperatorClient {
    client: HttpClient,
    base: String,
}

impl OperatorClient {
    fn new(address: SocketAddr) -> Self {
        let timeout = Duration::from_secs(10);
        let client = HttpClient::new(CallTimeouts { connect: timeout, response_head: timeout });
        OperatorClient { client, base: format!("http://{address}") }
    }

    async fn wait_until_up(&self) -> Result<(), Box<dyn Error>> {
        for _ in 0..MAX_READY_CHECKS {
            if self.send(Method::GET, "/operator/declarations", &Value::Null).await.is_ok() {
                return Ok(());
            }
            tokio::time::sleep(READY_CHECK_INTERVAL).await;
        }
        Err("the daemon did not start in time".into())
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<Value, Box<dyn Error>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(Full::from(body.to_string()))?;
        let response = self.client.send(request).await?;
        let status = response.status();
        let body =
            read_body(response.into_body(), MAX_RESPONSE_BYTES, Duration::from_secs(10)).await?;
        if !status.is_success() {
            return Err(String::from_utf8_lossy(&body).into_owned().into());
        }
        Ok(serde_json::from_slice(&body)?)
    }
}
