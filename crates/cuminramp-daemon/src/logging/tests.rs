use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use logforth::append::Append;

use super::{BoundedOutput, MAX_QUEUED_LINES};

/// Timeout for a line to arrive; generous, for busy machines.
const LINE_TIMEOUT: Duration = Duration::from_secs(20);

/// Output whose writes block until the test permits them.
struct BlockedOutput {
    entered: Sender<()>,
    permits: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.entered.send(());
        let _ = self.permits.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn dropped_in(text: &str) -> usize {
    let dropped = text.lines().filter_map(|line| line.split("lines_dropped=").nth(1));
    dropped.map(|count| count.trim().parse::<usize>().unwrap()).sum()
}

/// Guards against logging that blocks the host: the log collector stops reading, the pipe fills up, and a
/// host that waits for it stops serving, so that its callers' streams stall.
#[test]
fn push_never_blocks_on_a_stalled_output_and_counts_dropped_lines() {
    let (entered, writing) = channel();
    let (open, permits) = channel();
    let (written, lines) = channel();
    let output = BoundedOutput::new(BlockedOutput { entered, permits, written });
    output.push(b"first=1".to_vec());
    // The writer is blocked in a write now, so nothing leaves the queue.
    writing.recv().unwrap();

    let started = Instant::now();
    for _ in 0..MAX_QUEUED_LINES * 3 {
        output.push(b"x=1".to_vec());
    }
    let elapsed = started.elapsed();
    let dropped_at_once = output.dropped.load(Ordering::Relaxed);
    drop(open);
    // The queue may still be full for a moment; lines dropped meanwhile are counted as well.
    let mut tries = 0;
    while tries == 0 || output.dropped.load(Ordering::Relaxed) > 0 {
        output.push(b"z=1".to_vec());
        tries += 1;
        std::thread::yield_now();
    }
    let mut text = String::new();
    while !text.contains("z=1") {
        text.push_str(&String::from_utf8_lossy(&lines.recv_timeout(LINE_TIMEOUT).unwrap()));
    }

    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
    assert_eq!(dropped_at_once as usize, MAX_QUEUED_LINES * 2);
    let kept = text.lines().filter(|line| line.starts_with("x=1")).count();
    assert_eq!(kept, MAX_QUEUED_LINES);
    assert_eq!(dropped_in(&text), MAX_QUEUED_LINES * 2 + tries - 1);
}

/// Guards against losing the last lines of a leaving host: they show how its drain ended, which is needed to
/// explain a request that was cut off.
#[test]
fn flush_waits_until_queued_lines_are_written() {
    let (entered, _writing) = channel();
    let (open, permits) = channel();
    let (written, lines) = channel();
    let output = BoundedOutput::new(BlockedOutput { entered, permits, written });
    drop(open);

    output.push(b"message=left".to_vec());
    output.flush().unwrap();

    assert_eq!(lines.try_recv().unwrap(), b"message=left\n");
}
