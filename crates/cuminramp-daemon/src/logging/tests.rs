use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use logforth::append::Append;

use super::{BoundedOutput, WAITING_LINES};

/// How long the test waits for a line on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

/// An output whose reader takes bytes only when the test says so.
struct SlowReader {
    entered: Sender<()>,
    gate: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for SlowReader {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.entered.send(());
        let _ = self.gate.recv();
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

/// Whoever collects the logs stops reading, and the pipe fills up. A host that waited for it would
/// stop serving, and callers would see their streams stand still.
#[test]
fn an_output_that_nobody_reads_blocks_nobody_and_loses_lines_countably() {
    let (entered, writing) = channel();
    let (open, gate) = channel();
    let (written, lines) = channel();
    let output = BoundedOutput::new(SlowReader { entered, gate, written });
    output.push(b"first=1".to_vec());
    // The writer stands in its write now, so that nothing leaves the queue.
    writing.recv().unwrap();

    let began = Instant::now();
    for _ in 0..WAITING_LINES * 3 {
        output.push(b"x=1".to_vec());
    }
    let took = began.elapsed();
    let dropped_at_once = output.dropped.load(Ordering::Relaxed);
    drop(open);
    // The queue may be full for a moment yet; a line that is dropped now is counted as well.
    let mut tries = 0;
    while tries == 0 || output.dropped.load(Ordering::Relaxed) > 0 {
        output.push(b"z=1".to_vec());
        tries += 1;
        std::thread::yield_now();
    }
    let mut text = String::new();
    while !text.contains("z=1") {
        text.push_str(&String::from_utf8_lossy(&lines.recv_timeout(PATIENCE).unwrap()));
    }

    assert!(took < Duration::from_secs(2), "{took:?}");
    assert_eq!(dropped_at_once as usize, WAITING_LINES * 2);
    let kept = text.lines().filter(|line| line.starts_with("x=1")).count();
    assert_eq!(kept, WAITING_LINES);
    assert_eq!(dropped_in(&text), WAITING_LINES * 2 + tries - 1);
}

/// A host leaves, and its last lines say how it went. Lost with the process, they would be missed
/// by whoever asks why a request was cut off.
#[test]
fn the_last_lines_are_written_before_the_end() {
    let (entered, _writing) = channel();
    let (open, gate) = channel();
    let (written, lines) = channel();
    let output = BoundedOutput::new(SlowReader { entered, gate, written });
    drop(open);

    output.push(b"message=left".to_vec());
    output.flush().unwrap();

    assert_eq!(lines.try_recv().unwrap(), b"message=left\n");
}
