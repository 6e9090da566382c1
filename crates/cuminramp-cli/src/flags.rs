//! The command line of `cuminramp`.
#![allow(missing_docs, unreachable_pub)]

use std::path::PathBuf;

xflags::xflags! {
    /// Operates cuminramp. Exit status: 0 done, 1 failed, 2 wrong input, 3 conflict, 4 unreachable.
    cmd cuminramp {
        /// A daemon's operator address, ip:port; 127.0.0.1:8081 where not given.
        optional -o, --operator operator: String
        /// The operators' token; CUMINRAMP_TOKEN where not given.
        optional --token token: String
        /// Print JSON for machines.
        optional --json

        /// Checks a file without asking any daemon.
        cmd check {
            /// A declaration file.
            optional --declarations declarations: PathBuf
            /// A daemon's settings.
            optional --settings settings: PathBuf
        }
        /// Shows the declarations in force.
        cmd show {}
        /// Makes a declaration file the next generation, or refuses it whole.
        cmd apply {
            /// The file, JSON with comments.
            required file: PathBuf
            /// The generation the file was made for; a later one is a conflict.
            optional --expect generation: u64
            /// Only say what would change.
            optional --dry-run
            /// Wait until every live host has it in force, at most so many seconds.
            optional --wait seconds: u64
        }
        /// Shows which hosts have which generation in force.
        cmd generations {}
        /// Lists keys by digest.
        cmd keys {}
        /// Grants a key and prints it, this once.
        cmd grant {
            /// The team.
            required team: String
            /// What to call the key.
            optional --label label: String
        }
        /// Withdraws a key, for good.
        cmd withdraw {
            /// The key, its label, or the first 12 digits of its digest.
            required key: String
        }
        /// Shows hosts as the asked one knows them.
        cmd hosts {}
        /// Shows targets and their load.
        cmd targets {}
        /// Shows teams and which hosts own their rate.
        cmd teams {}
        /// Lists open jobs.
        cmd jobs {}
        /// Shows a job.
        cmd job {
            /// The team.
            required team: String
            /// The job.
            required job: String
            /// Show its progress until it ends.
            optional --follow
        }
        /// Cancels a job, for good.
        cmd cancel {
            /// The team.
            required team: String
            /// The job.
            required job: String
        }
        /// Measures a running system, or one role by itself, over loopback.
        cmd bench {
            /// Sends online requests at a steady rate.
            cmd online {
                /// Caller addresses, separated by commas.
                required --callers callers: String
                /// A key.
                required --key key: String
                /// The model.
                required --model model: String
                /// Requests a second.
                optional --rate rate: f64
                /// For how many seconds; 60 at most.
                optional --seconds seconds: u64
                /// Tokens of each answer.
                optional --tokens tokens: usize
                /// Compare with an engine called directly, ip:port.
                optional --direct direct: String
                /// Append the results to this file, a JSON line each.
                optional --out out: PathBuf
            }
            /// Sends requests one after the other from so many callers at once, as fast as they are
            /// answered: through the daemons and to an engine directly, in turns.
            cmd throughput {
                /// Caller addresses, separated by commas.
                required --callers callers: String
                /// A key.
                required --key key: String
                /// The model.
                required --model model: String
                /// An engine to call directly, ip:port.
                required --direct direct: String
                /// Callers at once.
                optional --concurrency concurrency: usize
                /// Seconds of each of four turns; 15 at most.
                optional --seconds seconds: u64
                /// Append the results to this file, a JSON line each.
                optional --out out: PathBuf
            }
            /// Grants and withdraws keys, and times until every host goes by it.
            cmd changes {
                /// Caller addresses, separated by commas.
                required --callers callers: String
                /// Operator addresses of the same hosts, separated by commas.
                required --operators operators: String
                /// A declared team.
                required --team team: String
                /// How many keys.
                optional --count count: usize
                /// What the run is called in the results.
                optional --name name: String
                /// Append the results to this file, a JSON line each.
                optional --out out: PathBuf
            }
            /// Sends a batch job and waits for its results.
            cmd batch {
                /// Caller addresses, separated by commas.
                required --callers callers: String
                /// A key.
                required --key key: String
                /// The model.
                required --model model: String
                /// Items of the job.
                optional --items items: usize
                /// Tokens of each answer.
                optional --tokens tokens: usize
                /// Append the results to this file, a JSON line each.
                optional --out out: PathBuf
            }
            /// Offers one team's requests and counts what is admitted above and refused within its rate.
            cmd quota {
                /// Caller addresses, separated by commas.
                required --callers callers: String
                /// A key of the team.
                required --key key: String
                /// The model.
                required --model model: String
                /// The team's rate, as declared.
                required --rate rate: f64
                /// The team's burst, as declared.
                required --burst burst: f64
                /// What is offered, as a multiple of the rate.
                required --offer offer: f64
                /// For how many seconds; 60 at most.
                optional --seconds seconds: u64
                /// What the run is called in the results.
                optional --name name: String
                /// Append the results to this file, a JSON line each.
                optional --out out: PathBuf
            }
            /// Sends calls that may not be repeated, again through other hosts where one fails, and
            /// counts how often the service stand-in ran each.
            cmd once {
                /// Caller addresses, separated by commas.
                required --callers callers: String
                /// A key.
                required --key key: String
                /// Where the service stand-in listens, ip:port.
                required --service service: String
                /// Calls in all.
                optional --calls calls: usize
                /// Calls a second.
                optional --rate rate: f64
                /// What the run is called in the results.
                optional --name name: String
                /// Append the results to this file, a JSON line each.
                optional --out out: PathBuf
            }
            /// Watches what daemons cost while nothing, or something, is asked of them.
            cmd control {
                /// Operator addresses of the daemons, separated by commas.
                required --operators operators: String
                /// Process numbers of the daemons, separated by commas.
                required --pids pids: String
                /// For how many seconds; 60 at most.
                optional --seconds seconds: u64
                /// What the run is called in the results.
                optional --name name: String
                /// Append the results to this file, a JSON line each.
                optional --out out: PathBuf
            }
            /// Replays a load or fault against the decisions of hosts, without I/O.
            cmd replay {
                /// waves, job-burst, lost-targets, failing-targets or mass-loss.
                required --pattern pattern: String
                /// Hosts; 12 where it is left out, 1,000 at most.
                optional --hosts hosts: usize
                /// Targets; as many as hosts where it is left out.
                optional --targets targets: usize
                /// How old news between hosts is, in milliseconds.
                optional --news-ms news_ms: u64
                /// Decides arrivals and draws.
                optional --seed seed: u64
                /// Append the results to this file, a JSON line each.
                optional --out out: PathBuf
            }
            /// Measures what the roles cost, as slopes over size.
            cmd roles {
                /// Append the results to this file, a JSON line each.
                optional --out out: PathBuf
            }
        }
    }
}
