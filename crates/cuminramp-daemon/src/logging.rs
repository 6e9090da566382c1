//! Logging to standard output, one line of key=value pairs per event.

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

/// Maximum number of lines queued for the writer. At about 300 bytes a line the queue holds at most 600 KB;
/// a host under full load writes a few hundred lines a second.
const MAX_QUEUED_LINES: usize = 2_000;

/// Size in bytes from which no further lines are added to a write.
const WRITE_BATCH_BYTES: usize = 32 << 10;
/// Timeout of `flush`, which waits for the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Bounded queue of log lines, written by a thread of its own.
///
/// The reader of standard output may stop reading. A blocking write would then stall the process in the
/// middle of its callers' streams; instead, lines that do not fit the queue are dropped and counted, and
/// the next queued line carries the count as `lines_dropped`.
pub struct BoundedOutput {
    lines: SyncSender<WriterCommand>,
    dropped: AtomicU64,
    layout: LogfmtLayout,
}

/// Command to the writer thread.
enum WriterCommand {
    Write(Vec<u8>),
    /// Signals the sender once all earlier lines are written.
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
        let (lines, queued) = sync_channel::<WriterCommand>(MAX_QUEUED_LINES);
        std::thread::spawn(move || {
            let mut next = None;
            while let Some(command) = next.take().or_else(|| queued.recv().ok()) {
                match command {
                    WriterCommand::Write(mut line) => {
                        next = append_queued(&mut line, &queued);
                        // A failed write can't be reported: standard output is where it would be logged.
                        let _ = output.write_all(&line);
                        let _ = output.flush();
                    }
                    WriterCommand::Flush(done) => {
                        let _ = done.send(());
                    }
                }
            }
        });
        BoundedOutput { lines, dropped: AtomicU64::new(0), layout: LogfmtLayout::default() }
    }

    /// Queues a line, or counts it as dropped if the queue is full.
    pub fn push(&self, mut line: Vec<u8>) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line.extend_from_slice(format!(" lines_dropped={dropped}").as_bytes());
        }
        line.push(b'\n');
        if let Err(TrySendError::Full(_)) = self.lines.try_send(WriterCommand::Write(line)) {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }
}

impl Append for BoundedOutput {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        self.push(self.layout.format(record, diags)?);
        Ok(())
    }

    /// Waits until all queued lines are written, for up to `FLUSH_TIMEOUT`; returns at once if the queue is
    /// full.
    fn flush(&self) -> Result<(), Error> {
        let (done, wait) = sync_channel(1);
        if self.lines.try_send(WriterCommand::Flush(done)).is_ok() {
            // Lines that are not written within the timeout are lost when the process ends.
            let _ = wait.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Appends further queued lines to `line`, so that one write covers them; returns the first command that is
/// not a line, if it finds one.
fn append_queued(line: &mut Vec<u8>, queued: &Receiver<WriterCommand>) -> Option<WriterCommand> {
    while line.len() < WRITE_BATCH_BYTES {
        match queued.try_recv().ok()? {
            WriterCommand::Write(more) => line.extend_from_slice(&more),
            command => return Some(command),
        }
    }
    None
}

/// Starts logging to standard output at `level` and above, and at `warn` and above for other crates. Has no
/// effect if logging was started before or `level` is invalid.
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
