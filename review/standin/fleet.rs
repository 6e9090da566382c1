//! Gateways as processes, on loopback addresses.

use std::fs::File;
use std::net::{TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::{Json, number, table, text};

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
pub const CALLERS: u16 = 0;
const READINESS: u16 = 1;
const STEERING: u16 = 2;
const PEERS: u16 = 3;
const METRICS: u16 = 4;
const MAX_START: Duration = Duration::from_secs(20);
/// Time after which the gateways know each other and the owners of slots grant them.
const SETTLE: Duration = Duration::from_secs(4);

/// Gateways that run; they are killed when this is dropped.
pub struct Fleet {
    port: u16,
    folder: PathBuf,
    processes: Vec<Option<Child>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.processes.len()).for_each(|host| self.kill(host));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn ip(host: usize) -> String {
    format!("127.0.0.{}", 21 + host)
}

/// Returns the first of five ports that are free at the addresses of all hosts.
fn free_ports(hosts: usize) -> Option<u16> {
    let seed = std::process::id() % 300;
    (0..300).map(|turn| 20_000 + 10 * ((seed + turn * 7) % 300) as u16).find(|base| {
        let all = (0..hosts).flat_map(|host| (0..5).map(move |port| (ip(host), base + port)));
        all.into_iter().all(|(ip, port)| {
            let udp = UdpSocket::bind((ip.as_str(), port));
            udp.is_ok() && TcpListener::bind((ip.as_str(), port)).is_ok()
        })
    })
}

impl Fleet {
    pub fn address(&self, host: usize, port: u16) -> String {
        format!("{}:{}", ip(host), self.port + port)
    }

    /// Starts gateways and waits until all are ready and know each other.
    pub fn start(gateway: &str, hosts: usize, store: &str, name: &str) -> Result<Fleet, String> {
        let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let port = free_ports(hosts).ok_or("no free ports")?;
        let mut fleet = Fleet { port, folder, processes: Vec::new() };
        for host in 0..hosts {
            fleet.start_host(gateway, host, store)?;
        }
        let began = Instant::now();
        while !(0..hosts).all(|host| fleet.is_ready(host)) {
            if began.elapsed() > MAX_START {
                return Err("the gateways are not ready".into());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        std::thread::sleep(SETTLE);
        Ok(fleet)
    }

    fn start_host(&mut self, gateway: &str, host: usize, store: &str) -> Result<(), String> {
        let zones = ZONES.iter().map(|zone| table([("zone", text(*zone)), ("region", text("region-a"))]));
        let contracts = ["base", "drain", "config", "cost", "recover", "batch", "stream", "engine", "tenants", "quota"];
        let settings = table([
            ("name", text(format!("edge-{host}"))),
            ("availability-zone", text(ZONES[host % ZONES.len()])),
            ("caller-address", text(self.address(host, CALLERS))),
            ("readiness-address", text(self.address(host, READINESS))),
            ("steering-address", text(self.address(host, STEERING))),
            ("peer-address", text(self.address(host, PEERS))),
            ("metrics-address", text(self.address(host, METRICS))),
            ("seeds", Json::List((0..3).map(|seed| text(self.address(seed, PEERS))).collect())),
            ("first-start", Json::Bool(true)),
            ("store-address", text(store)),
            ("grace-s", number(8)),
            ("steering-keep-s", number(2)),
            ("rate-tolerance-share", Json::Number(0.1)),
            ("rate-tolerance-requests", number(20)),
            ("rate-window-s", number(5)),
            ("requirements", Json::List(contracts.iter().map(|name| text(*name)).collect())),
            ("cpu-share", Json::Number(0.5)),
            ("memory-mb", number(300)),
            ("zone-regions", Json::List(zones.collect())),
            ("log-level", text("info")),
        ]);
        let path = self.folder.join(format!("edge-{host}.json"));
        std::fs::write(&path, settings.to_string()).map_err(|error| error.to_string())?;
        let log = File::create(self.folder.join(format!("edge-{host}.log"))).map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(gateway)
            .arg("gateway")
            .env("CUMINRAMP_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{gateway}: {error}"))?;
        self.processes.push(Some(child));
        Ok(())
    }

    /// Kills a gateway, which is not started again.
    pub fn kill(&mut self, host: usize) {
        if let Some(mut child) = self.processes[host].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn is_ready(&self, host: usize) -> bool {
        let answer = call(&self.address(host, READINESS), "GET", "/api/ready", &[], b"");
        answer.is_some_and(|answer| answer.status() == 200)
    }
}

