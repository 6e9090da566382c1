//! Signal handling of real `cuminrampd` processes.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use cuminramp_standin::LoopbackNetwork;
use rustix::process::{Pid, Signal, kill_process};
use test_case::test_case;

/// Writes settings for a process on a loopback address whose platform is not running.
fn write_settings(subcommand: &str, network: &LoopbackNetwork) -> PathBuf {
    let fields = match subcommand {
        "run" => {
            r#""caller-address": "IP:7001", "operator-address": "IP:7002", "peer-address": "IP:7003", "platform": {"address": "IP:7009"}"#
        }
        _ => {
            r#""caller-address": "IP:7001", "readiness-address": "IP:7002", "steering-address": "IP:7003", "peer-address": "IP:7004", "metrics-address": "IP:7005", "store-address": "IP:7009", "grace-s": 2"#
        }
    };
    let ip = network.host_ip(0).unwrap();
    let path =
        std::env::temp_dir().join(format!("cuminramp-{subcommand}-{}.jsonc", std::process::id()));
    std::fs::write(&path, format!("{{ {} }}", fields.replace("IP", &ip))).unwrap();
    path
}

struct DaemonProcess(Child);

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl DaemonProcess {
    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.0.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }
}

/// Guards against a missing SIGHUP handler: the platform sends SIGHUP when settings change, and a process
/// without a handler would end and cut off every caller.
#[test_case("run")]
#[test_case("gateway")]
fn sighup_keeps_the_process_running_and_sigterm_ends_it_cleanly(subcommand: &str) {
    let network = LoopbackNetwork::take(u64::from(std::process::id())).unwrap();
    let settings = write_settings(subcommand, &network);
    let child = Command::new(env!("CARGO_BIN_EXE_cuminrampd"))
        .args([subcommand, "--settings", settings.to_str().unwrap()])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut process = DaemonProcess(child);
    let mut lines = BufReader::new(process.0.stdout.take().unwrap()).lines();
    let mut wait_for = |message: &str| {
        lines.by_ref().map(Result::unwrap).find(|line| line.contains(message)).is_some()
    };
    assert!(wait_for("message=started"));
    std::thread::sleep(Duration::from_millis(100));

    process.signal(Signal::HUP);
    assert!(wait_for("message=reload"));
    let after_hangup = process.0.try_wait().unwrap();
    process.signal(Signal::TERM);
    let status = process.0.wait().unwrap();

    assert_eq!(after_hangup, None);
    assert!(status.success(), "{status}");
}
