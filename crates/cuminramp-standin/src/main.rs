//! Runs a stand-in as a separate process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use cuminramp_standin::{Engine, EngineSettings, MemoryPlatform, PlatformSettings, serve_platform};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

mod flags {
    #![allow(missing_docs)]
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Stand-ins for the platform and for engines.
        cmd cuminramp-standin {
            /// Serves a platform: a table, an object store and a host list.
            cmd platform {
                /// Address to listen on, ip:port.
                required --listen listen: SocketAddr
                /// Settings in JSON with comments.
                optional --settings settings: PathBuf
            }
            /// Serves engines, each of which is also a generic HTTP service.
            cmd engine {
                /// Address of the first engine, ip:port; further engines use the ports that follow.
                required --listen listen: SocketAddr
                /// Number of engines; the default is 1.
                optional --count count: u16
                /// Settings in JSON with comments.
                optional --settings settings: PathBuf
            }
        }
    }
}

type MainError = Box<dyn std::error::Error>;

fn load_settings<S: Default + serde::de::DeserializeOwned>(
    file: Option<PathBuf>,
) -> Result<S, MainError> {
    match file {
        Some(path) => Ok(serde_jsonc::from_str(&std::fs::read_to_string(path)?)?),
        None => Ok(S::default()),
    }
}

async fn run_platform(flags: flags::Platform) -> Result<(), MainError> {
    let settings: PlatformSettings = load_settings(flags.settings)?;
    let listener = TcpListener::bind(flags.listen).await?;
    println!("platform listening on {}", listener.local_addr()?);
    let platform = Arc::new(MemoryPlatform::new(settings));
    serve_platform(listener, platform, CancellationToken::new()).await;
    Ok(())
}

async fn run_engines(flags: flags::Engine) -> Result<(), MainError> {
    let settings: EngineSettings = load_settings(flags.settings)?;
    let mut engines = Vec::new();
    for index in 0..flags.count.unwrap_or(1) {
        let listen = SocketAddr::new(flags.listen.ip(), flags.listen.port() + index);
        let engine = Engine::start(listen, settings.clone()).await?;
        println!("engine listening on {}", engine.address());
        engines.push(engine);
    }
    std::future::pending::<()>().await;
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::CuminrampStandin::from_env_or_exit();
    let outcome = match flags.subcommand {
        flags::CuminrampStandinCmd::Platform(flags) => run_platform(flags).await,
        flags::CuminrampStandinCmd::Engine(flags) => run_engines(flags).await,
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cuminramp-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
