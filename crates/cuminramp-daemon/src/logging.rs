//! Log lines: one line of key=value pairs for each event, on standard output.

use std::fmt;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use logforth::append::Append;
use logforth::filter::rustlog::RustLogFilter;
use logforth::layout::{Layout, LogfmtLayout};
use logforth::record::Record;
use logforth::{Diagnostic, Error};

/// Lines that wait for the writer. At about 300 bytes a line they take 600 KB at the most; a host
/// writes some hundred lines a second under full load.
const WAITING_LINES: usize = 2_000;

/// Bytes of one write.
const MOST_WRITE_BYTES: usize = 32 << 10;
/// How long the end of a process waits for its last lines.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// Hands lines to a thread that writes them.
///
/// Whoever reads standard output may stop reading. A process that waited for it would stand still in
/// the middle of its callers' streams; here lines are dropped and counted instead, and the next line
/// that gets through says how many.
pub struct BoundedOutput {
    lines: SyncSender<OutputOrder>,
    dropped: AtomicU64,
    layout: LogfmtLayout,
}

/// What the writer is asked to do.
enum OutputOrder {
    Write(Vec<u8>),
    /// Say when everything before is written.
    Flush(SyncSender<()>),
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
        let (lines, waiting) = sync_channel::<OutputOrder>(WAITING_LINES);
        std::thread::spawn(move || {
            let mut held_back = None;
            while let Some(order) = held_back.take().or_else(|| waiting.recv().ok()) {
                match order {
                    OutputOrder::Write(mut line) => {
                        held_back = gather(&mut line, &waiting);
                        // Nobody can learn that standard output is gone.
                        let _ = output.write_all(&line);
                        let _ = output.flush();
                    }
                    OutputOrder::Flush(done) => {
                        let _ = done.send(());
                    }
                }
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
        if let Err(TrySendError::Full(_)) = self.lines.try_send(OutputOrder::Write(line)) {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }
}

impl Append for BoundedOutput {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        self.push(self.layout.format(record, diags)?);
        Ok(())
    }

    /// Waits a moment until everything is written, as at the end of a process.
    fn flush(&self) -> Result<(), Error> {
        let (done, wait) = sync_channel(1);
        if self.lines.try_send(OutputOrder::Flush(done)).is_ok() {
            // Lines that nobody reads in that time are lost with the process.
            let _ = wait.recv_timeout(FLUSH_LIMIT);
        }
        Ok(())
    }
}

/// Adds what else waits to a line, so that it goes out in the same write; returns an order that is
/// no line.
fn gather(line: &mut Vec<u8>, waiting: &Receiver<OutputOrder>) -> Option<OutputOrder> {
    while line.len() < MOST_WRITE_BYTES {
        match waiting.try_recv().ok()? {
            OutputOrder::Write(more) => line.extend_from_slice(&more),
            order => return Some(order),
        }
    }
    None
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
