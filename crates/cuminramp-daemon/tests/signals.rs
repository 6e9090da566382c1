//! Signals to real processes.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use test_case::test_case;

/// Settings for a host on loopback, whose platform is not there.
fn write_settings(verb: &str) -> PathBuf {
    let (network, fields) = match verb {
        "run" => (
            31,
            r#""caller-address": "IP:7001", "operator-address": "IP:7002", "peer-address": "IP:7003", "platform": {"address": "IP:7009"}"#,
        ),
        _ => (
            32,
            r#""caller-address": "IP:7001", "readiness-address": "IP:7002", "steering-address": "IP:7003", "peer-address": "IP:7004", "metrics-address": "IP:7005", "store-address": "IP:7009", "grace-s": 2"#,
        ),
    };
    let ip = format!("127.{network}.{}.1", std::process::id() % 250 + 1);
    let path = std::env::temp_dir().join(format!("cuminramp-{verb}-{}.jsonc", std::process::id()));
    std::fs::write(&path, format!("{{ {} }}", fields.replace("IP", &ip))).unwrap();
    path
}

struct Host(Child);

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Host {
    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.0.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }
}

/// The platform says that settings have changed. A process without a handler would end, and cut off
/// every caller.
#[test_case("run")]
#[test_case("gateway")]
fn a_hangup_ends_nothing_and_a_terminate_ends_cleanly(verb: &str) {
    let settings = write_settings(verb);
    let child = Command::new(env!("CARGO_BIN_EXE_cuminrampd"))
        .args([verb, "--settings", settings.to_str().unwrap()])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut host = Host(child);
    let mut lines = BufReader::new(host.0.stdout.take().unwrap()).lines();
    let mut wait_for = |message: &str| {
        lines.by_ref().map(Result::unwrap).find(|line| line.contains(message)).is_some()
    };
    assert!(wait_for("message=started"));
    std::thread::sleep(Duration::from_millis(100));

    host.signal(Signal::HUP);
    assert!(wait_for("message=reload"));
    let after_hangup = host.0.try_wait().unwrap();
    host.signal(Signal::TERM);
    let status = host.0.wait().unwrap();

    assert_eq!(after_hangup, None);
    assert!(status.success(), "{status}");
}
