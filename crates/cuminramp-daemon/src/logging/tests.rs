use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use logforth::append::Append;

use super::{BoundedOutput, WAITING_LINES};

/// An output whose reader takes bytes only when the test says so.
struct SlowReader {
    gate: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for SlowReader {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.gate.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Whoever collects the logs stops reading, and the pipe fills up. A host that waited for it would
/// stop serving, and callers would see their streams stand still.
#[test]
fn an_output_that_nobody_reads_blocks_nobody_and_loses_lines_countably() {
    let (open, gate) = channel();
    let (written, lines) = channel();
    let output = BoundedOutput::new(SlowReader { gate, written });

    let began = Instant::now();
    for _ in 0..WAITING_LINES * 3 {
        output.push(b"x=1".to_vec());
    }
    let took = began.elapsed();
    drop(open);
    // The queue may be full for a moment yet; a line that is dropped now is counted as well.
    let mut tries = 0;
    while tries == 0 || output.dropped.load(Ordering::Relaxed) > 0 {
        output.push(b"z=1".to_vec());
        tries += 1;
        std::thread::yield_now();
    }
    let mut text = String::new();
    while let Ok(bytes) = lines.recv_timeout(Duration::from_millis(500)) {
        text.push_str(&String::from_utf8_lossy(&bytes));
    }

    assert!(took < Duration::from_secs(2), "{took:?}");
    let told = text.lines().find_map(|line| line.split("lines_dropped=").nth(1));
    let dropped: usize = told.unwrap().trim().parse().unwrap();
    let kept = text.lines().filter(|line| line.starts_with("x=1")).count();
    assert_eq!(kept + dropped, WAITING_LINES * 3 + tries - 1);
}

/// A host leaves, and its last lines say how it went. Lost with the process, they would be missed
/// by whoever asks why a request was cut off.
#[test]
fn the_last_lines_are_written_before_the_end() {
    let (open, gate) = channel();
    let (written, lines) = channel();
    let output = BoundedOutput::new(SlowReader { gate, written });
    drop(open);

    output.push(b"message=left".to_vec());
    output.flush().unwrap();

    assert_eq!(lines.try_recv().unwrap(), b"message=left\n");
}
