//! A writer that never blocks: a bounded queue of text before a thread that writes it out.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use crate::process::clock;

/// Pieces of text that wait at most: a second of a busy process's log.
const LONGEST_QUEUE: usize = 4_096;
/// Time in which the thread gathers text before it writes, so that it does not wake for each line.
const GATHERING: Duration = Duration::from_millis(25);
/// Longest wait for the queue to be written out at a flush.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);
/// Time between two looks at the queue during a flush.
const FLUSH_POLL: Duration = Duration::from_millis(5);

/// The writing side of the queue.
#[derive(Debug)]
pub struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts the thread that writes to `output`.
    ///
    /// ```
    /// use std::io::Write;
    ///
    /// let mut queue = greengagearch::process::line_queue::LineQueue::spawn(std::io::sink());
    /// queue.write_all(b"event=started\n").unwrap();
    /// queue.flush().unwrap();
    /// ```
    pub fn spawn<W: Write + Send + 'static>(output: W) -> LineQueue {
        let (sender, receiver) = sync_channel(LONGEST_QUEUE);
        let waiting = Arc::new(AtomicUsize::new(0));
        let dropped = Arc::new(AtomicU64::new(0));
        let (shared_waiting, shared_dropped) = (waiting.clone(), dropped.clone());
        thread::spawn(move || write_out(output, &receiver, &shared_waiting, &shared_dropped));
        LineQueue { sender, waiting, dropped }
    }
}

impl Write for LineQueue {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        if self.sender.try_send(text.to_vec()).is_err() {
            self.waiting.fetch_sub(1, Ordering::AcqRel);
            self.dropped.fetch_add(1, Ordering::AcqRel);
        }
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let started = clock::now();
        while self.waiting.load(Ordering::Acquire) > 0 && clock::elapsed(started) < FLUSH_LIMIT {
            thread::sleep(FLUSH_POLL);
        }
        Ok(())
    }
}

fn write_out<W: Write>(
    mut output: W,
    receiver: &Receiver<Vec<u8>>,
    waiting: &AtomicUsize,
    dropped: &AtomicU64,
) {
    while let Ok(first) = receiver.recv() {
        thread::sleep(GATHERING);
        let mut text = first;
        let mut pieces = 1;
        while let Ok(more) = receiver.try_recv() {
            text.extend_from_slice(&more);
            pieces += 1;
        }
        let lost = dropped.swap(0, Ordering::AcqRel);
        if lost > 0 {
            text.extend_from_slice(
                format!("level=warn event=log_dropped pieces={lost}\n").as_bytes(),
            );
        }
        // There is nowhere left to tell that the output is closed.
        let _ = output.write_all(&text);
        let _ = output.flush();
        waiting.fetch_sub(pieces, Ordering::AcqRel);
    }
}
