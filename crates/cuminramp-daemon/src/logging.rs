//! Log lines: one line of key=value pairs for each event, on standard output.

use std::fmt;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};

use logforth::append::Append;
use logforth::filter::rustlog::RustLogFilter;
use logforth::layout::{Layout, LogfmtLayout};
use logforth::record::Record;
use logforth::{Diagnostic, Error};

/// Lines that wait for the writer. At about 300 bytes a line they take 600 KB at the most; a host
/// writes some hundred lines a second under full load.
const WAITING_LINES: usize = 2_000;

/// Hands lines to a thread that writes them.
///
/// Whoever reads standard output may stop reading. A process that waited for it would stand still in
/// the middle of its callers' streams; here lines are dropped and counted instead, and the next line
/// that gets through says how many.
pub struct BoundedOutput {
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
    layout: LogfmtLayout,
}

impl fmt::Debug for BoundedOutput {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("BoundedOutput").finish_non_exhaustive()
    }
}

impl BoundedOutput {
    /// Writes to `output` from a thread of its own.
    ///
    /// ```
    /// let output = cuminramp_daemon::BoundedOutput::new(std::io::sink());
    /// ```
    pub fn new(mut output: impl Write + Send + 'static) -> Self {
        let (lines, waiting) = sync_channel::<Vec<u8>>(WAITING_LINES);
        std::thread::spawn(move || {
            while let Ok(mut line) = waiting.recv() {
                // What else waits goes out in the same write.
                while line.len() < (32 << 10) {
                    let Ok(more) = waiting.try_recv() else { break };
                    line.extend_from_slice(&more);
                }
                // Nobody can be told that standard output is gone.
                let _ = output.write_all(&line);
                let _ = output.flush();
            }
        });
        BoundedOutput { lines, dropped: AtomicU64::new(0), layout: LogfmtLayout::default() }
    }

    /// Takes a line, or counts it as dropped.
    pub fn push(&self, mut line: Vec<u8>) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line.extend_from_slice(format!(" lines_dropped={dropped}").as_bytes());
        }
        line.push(b'\n');
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }
}

impl Append for BoundedOutput {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        self.push(self.layout.format(record, diags)?);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Sends log lines of `level` and above to standard output. A second call changes nothing.
pub fn start_logging(level: &str) {
    let directives = format!("warn,cuminramp={level}");
    let Ok(filter) = directives.parse::<RustLogFilter>() else {
        return;
    };
    let output = BoundedOutput::new(std::io::stdout());
    let starter = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(output));
    let _ = starter.try_apply();
}

#[cfg(test)]
mod tests;
