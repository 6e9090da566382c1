//! Gateways as processes whose time of day is stepped.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use cuminramp_platform_soak::{ClockLibrary, SoakPlan, run_seed};

/// Variable with the seeds to play, as `FIRST..END`, instead of [`SEEDS`].
const SEEDS_VARIABLE: &str = "CLOCK_SEEDS";
const SEEDS: std::ops::Range<u64> = 3..5;
/// Variable with another program to play.
const PROGRAM_VARIABLE: &str = "CLOCK_PROGRAM";

/// Compiles the library that steps clocks, for processes to load.
fn build_library() -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    // Processes of other runs may have loaded theirs.
    let path = directory.join(format!("libclocks-{}.so", std::process::id()));
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/clocks/library.rs");
    let status = Command::new("rustc")
        .args(["--edition", "2024", "--crate-type", "cdylib", "-O", "-o"])
        .args([path.as_path(), source.as_path()])
        .status()
        .unwrap();
    assert!(status.success());
    path
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(range) = std::env::var(SEEDS_VARIABLE) else { return SEEDS };
    let (first, end) = range.split_once("..").unwrap();
    first.parse().unwrap()..end.parse().unwrap()
}

/// All hosts are killed twice while the clocks of some are ahead or back, and jobs are accepted in between. Guards against
/// accepted jobs that no host works on, because a run seems to have ended before the one that it follows.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_finished_although_clocks_step_while_all_hosts_are_killed() {
    let library = ClockLibrary { variable: "LD_PRELOAD", path: build_library() };
    let program =
        std::env::var_os(PROGRAM_VARIABLE).unwrap_or(env!("CARGO_BIN_EXE_cuminrampd").into());
    for seed in seeds() {
        let plan = SoakPlan {
            program: program.clone().into(),
            seed,
            duration: Duration::from_secs(9),
            hosts: 6,
            clocks: Some(library.clone()),
            ..SoakPlan::default()
        };

        let violations = run_seed(&plan).await;

        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}
