//! Command line of `cuminramp`. The doc comments are the help texts.
#![allow(missing_docs, unreachable_pub)]

use std::path::PathBuf;

xflags::xflags! {
    /// Operate cuminramp. Exit status: 0 success, 1 failure, 2 invalid input, 3 conflict, 4 unreachable.
    cmd cuminramp {
        /// Operator address of a daemon, ip:port [default: 127.0.0.1:8081]
        optional -o, --operator operator: String
        /// Operator token [default: the environment variable CUMINRAMP_TOKEN]
        optional --token token: String
        /// Print JSON instead of tables.
        optional --json

        /// Check files locally, without contacting a daemon.
        cmd check {
            /// Declaration file to check.
            optional --declarations declarations: PathBuf
            /// Daemon settings file to check.
            optional --settings settings: PathBuf
        }
        /// Show the declarations in force.
        cmd show {}
        /// Apply a declaration file as the next generation; an invalid file changes nothing.
        cmd apply {
            /// Declaration file, JSON with comments.
            required file: PathBuf
            /// Generation that the file is based on; fail with a conflict if a later one is in force.
            optional --expect generation: u64
            /// Print what would change without applying it.
            optional --dry-run
            /// Wait until the generation is in force on every live host, at most this many seconds.
            optional --wait seconds: u64
        }
        /// Show which generation is in force on each host.
        cmd generations {}
        /// List keys by digest.
        cmd keys {}
        /// Grant a key and print it. The key can't be shown again.
        cmd grant {
            /// Name of the team.
            required team: String
            /// Label of the key.
            optional --label label: String
        }
        /// Withdraw a key permanently.
        cmd withdraw {
            /// Key, its label, or the first 12 digits of its digest.
            required key: String
        }
        /// Show hosts as seen by the daemon that is called.
        cmd hosts {}
        /// Show targets and their load.
        cmd targets {}
        /// Show teams and the hosts that own their rate.
        cmd teams {}
        /// List open jobs.
        cmd jobs {}
        /// Show a job.
        cmd job {
            /// Name of the team.
            required team: String
            /// Id of the job.
            required job: String
            /// Show progress until the job ends.
            optional --follow
        }
        /// Cancel a job permanently.
        cmd cancel {
            /// Name of the team.
            required team: String
            /// Id of the job.
            required job: String
        }
        /// Measure a running system over loopback, or a single component in this process.
        cmd bench {
            /// Send online requests at a constant rate and measure their latency.
            cmd online {
                /// Caller addresses of the hosts, separated by commas.
                required --callers callers: String
                /// API key.
                required --key key: String
                /// Name of the model.
                required --model model: String
                /// Requests per second [default: 50]
                optional --rate rate: f64
                /// Duration in seconds, at most 60 [default: 10]
                optional --seconds seconds: u64
                /// Tokens of each response [default: 16]
                optional --tokens tokens: usize
                /// Address of an engine to call directly for comparison, ip:port.
                optional --direct direct: String
                /// Append each result to this file as a line of JSON.
                optional --out out: PathBuf
            }
            /// Send requests from concurrent callers, each as soon as its previous one is answered,
            /// alternating between the daemons and an engine called directly.
            cmd throughput {
                /// Caller addresses of the hosts, separated by commas.
                required --callers callers: String
                /// API key.
                required --key key: String
                /// Name of the model.
                required --model model: String
                /// Address of the engine to call directly, ip:port.
                required --direct direct: String
                /// Number of concurrent callers [default: 64]
                optional --concurrency concurrency: usize
                /// Seconds of each of the four turns, at most 15 [default: 4]
                optional --seconds seconds: u64
                /// Append each result to this file as a line of JSON.
                optional --out out: PathBuf
            }
            /// Grant and withdraw keys, and measure the time until each change is effective on every host.
            cmd changes {
                /// Caller addresses of the hosts, separated by commas.
                required --callers callers: String
                /// Operator addresses of the same hosts, separated by commas.
                required --operators operators: String
                /// Name of a declared team.
                required --team team: String
                /// Number of keys [default: 20]
                optional --count count: usize
                /// Name of the run in the results.
                optional --name name: String
                /// Append each result to this file as a line of JSON.
                optional --out out: PathBuf
            }
            /// Submit a batch job and wait for its results.
            cmd batch {
                /// Caller addresses of the hosts, separated by commas.
                required --callers callers: String
                /// API key.
                required --key key: String
                /// Name of the model.
                required --model model: String
                /// Number of items of the job [default: 1000]
                optional --items items: usize
                /// Tokens of each response [default: 8]
                optional --tokens tokens: usize
                /// Append each result to this file as a line of JSON.
                optional --out out: PathBuf
            }
            /// Send requests of one team and count those admitted above its rate and those refused for rate.
            cmd quota {
                /// Caller addresses of the hosts, separated by commas.
                required --callers callers: String
                /// API key of the team.
                required --key key: String
                /// Name of the model.
                required --model model: String
                /// Declared rate of the team, per second.
                required --rate rate: f64
                /// Declared burst of the team.
                required --burst burst: f64
                /// Offered load as a multiple of the rate.
                required --offer offer: f64
                /// Duration in seconds, at most 60 [default: 10]
                optional --seconds seconds: u64
                /// Name of the run in the results.
                optional --name name: String
                /// Append each result to this file as a line of JSON.
                optional --out out: PathBuf
            }
            /// Send non-idempotent calls, retry failed ones through other hosts, and count how often
            /// the service stand-in ran each.
            cmd once {
                /// Caller addresses of the hosts, separated by commas.
                required --callers callers: String
                /// API key.
                required --key key: String
                /// Address of the service stand-in, ip:port.
                required --service service: String
                /// Number of calls [default: 1000]
                optional --calls calls: usize
                /// Calls per second [default: 200]
                optional --rate rate: f64
                /// Name of the run in the results.
                optional --name name: String
                /// Append each result to this file as a line of JSON.
                optional --out out: PathBuf
            }
            /// Measure CPU, memory and peer calls of daemons, idle or under load.
            cmd control {
                /// Operator addresses of the daemons, separated by commas.
                required --operators operators: String
                /// Process ids of the daemons, separated by commas.
                required --pids pids: String
                /// Duration in seconds, at most 60 [default: 10]
                optional --seconds seconds: u64
                /// Name of the run in the results.
                optional --name name: String
                /// Append each result to this file as a line of JSON.
                optional --out out: PathBuf
            }
            /// Replay a load or fault pattern against the hosts' decision logic, without I/O.
            cmd replay {
                /// Pattern: waves, job-burst, lost-targets, failing-targets, mass-loss or power-dip.
                required --pattern pattern: String
                /// Number of hosts, at most 1,000 [default: 12]
                optional --hosts hosts: usize
                /// Number of targets [default: the number of hosts]
                optional --targets targets: usize
                /// Interval of load reports between hosts, in milliseconds [default: 10]
                optional --news-ms news_ms: u64
                /// Seed of arrivals and random choices [default: 1]
                optional --seed seed: u64
                /// Append each result to this file as a line of JSON.
                optional --out out: PathBuf
            }
            /// Measure the cost of each component as a linear function of its size.
            cmd roles {
                /// Append each result to this file as a line of JSON.
                optional --out out: PathBuf
            }
        }
    }
}
