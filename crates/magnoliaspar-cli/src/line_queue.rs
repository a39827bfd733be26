//! A bounded queue of log lines, written by a thread so that logging never blocks.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::kv::{self, Key, Value, VisitSource};
use log::{Level, LevelFilter, Record};
use serde_json::{Map, Value as Json};

/// Maximum size of the queued lines: some seconds of logs of a busy instance.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// The part of [`MAX_QUEUED_BYTES`] open to lines below the level `warn`; the rest is reserved for
/// failures.
const MAX_ROUTINE_BYTES: usize = MAX_QUEUED_BYTES / 2;

/// Time for which lines are collected into one batch before they are written.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a flush, which limits the wait of a stopping process for its last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// The event of the line that reports the number of dropped lines.
pub(crate) const DROPPED_EVENT: &str = "log_lines_dropped";

/// Name of the thread that writes the lines.
pub(crate) const LOG_THREAD: &str = "log";

/// A queue of log lines, shared by the threads that log and the thread that writes.
pub(crate) struct LineQueue {
    instance: Box<str>,
    state: Mutex<QueueState>,
    changed: Condvar,
    dropped: Arc<DroppedLines>,
}

#[derive(Debug, Default)]
struct QueueState {
    queued: VecDeque<Box<str>>,
    bytes: usize,
    is_writing: bool,
}

/// The numbers of lines dropped since the process started.
#[derive(Debug, Default)]
pub(crate) struct DroppedLines {
    /// Lines below the level `warn`.
    pub(crate) routine: AtomicU64,
    /// Lines of the levels `warn` and `error`.
    pub(crate) failures: AtomicU64,
}

impl LineQueue {
    /// Starts a thread that writes the log lines of `instance` to the standard output.
    pub(crate) fn start(instance: &str) -> io::Result<Arc<Self>> {
        Self::start_writing(instance, Box::new(io::stdout()))
    }

    fn start_writing(instance: &str, out: Box<dyn Write + Send>) -> io::Result<Arc<Self>> {
        let queue = Arc::new(Self {
            instance: instance.into(),
            state: Mutex::default(),
            changed: Condvar::new(),
            dropped: Arc::default(),
        });
        let writer = queue.clone();
        thread::Builder::new().name(LOG_THREAD.into()).spawn(move || writer.write_batches(out))?;
        Ok(queue)
    }

    /// Returns the counts of dropped lines.
    pub(crate) fn dropped(&self) -> Arc<DroppedLines> {
        self.dropped.clone()
    }

    /// Adds a line, or drops and counts it if the queue is full.
    fn push(&self, line: Box<str>, is_failure: bool) {
        let mut state = self.lock();
        let limit = if is_failure { MAX_QUEUED_BYTES } else { MAX_ROUTINE_BYTES };
        if state.bytes + line.len() > limit {
            let count = if is_failure { &self.dropped.failures } else { &self.dropped.routine };
            count.fetch_add(1, Ordering::Relaxed);
            return;
        }
        state.bytes += line.len();
        state.queued.push_back(line);
        if !state.is_writing {
            self.changed.notify_one();
        }
    }

    /// Writes batches of lines until the output fails.
    fn write_batches(&self, mut out: Box<dyn Write + Send>) {
        let mut reported = (0, 0);
        loop {
            let batch = self.take_batch();
            let written = self.write_batch(&mut out, &batch, &mut reported);
            self.lock().is_writing = false;
            self.changed.notify_all();
            if written.is_err() {
                // The output is closed; from now on the queue fills up, and lines are dropped and
                // counted.
                return;
            }
        }
    }

    /// Waits for a line, collects more for [`BATCH_INTERVAL`] and takes all queued lines.
    fn take_batch(&self) -> VecDeque<Box<str>> {
        let mut state = self.lock();
        while state.queued.is_empty() {
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.is_writing = true;
        drop(state);
        thread::sleep(BATCH_INTERVAL);
        let mut state = self.lock();
        state.bytes = 0;
        std::mem::take(&mut state.queued)
    }

    /// Writes a batch, and a line that reports lines dropped since the last report.
    ///
    /// `reported` has the counts of dropped routine and failure lines at the last report.
    fn write_batch(
        &self,
        out: &mut dyn Write,
        batch: &VecDeque<Box<str>>,
        reported: &mut (u64, u64),
    ) -> io::Result<()> {
        let routine = self.dropped.routine.load(Ordering::Relaxed);
        let failures = self.dropped.failures.load(Ordering::Relaxed);
        let mut text = String::new();
        for line in batch {
            text.push_str(line);
        }
        if (routine, failures) != *reported {
            let mut fields = Map::new();
            fields.insert("routine".into(), (routine - reported.0).into());
            fields.insert("failures".into(), (failures - reported.1).into());
            let at = format_time(&mut DeferredNow::new());
            text.push_str(&self.format_line(&at, Level::Warn, DROPPED_EVENT, fields));
            *reported = (routine, failures);
        }
        out.write_all(text.as_bytes())?;
        out.flush()
    }

    /// Formats a line as a JSON object; `fields` do not replace the common fields.
    fn format_line(
        &self,
        at: &str,
        level: Level,
        event: &str,
        fields: Map<String, Json>,
    ) -> Box<str> {
        let mut line = Map::new();
        line.insert("at".into(), at.into());
        line.insert("level".into(), level.as_str().to_ascii_lowercase().into());
        line.insert("instance".into(), (*self.instance).into());
        line.insert("event".into(), event.into());
        for (name, value) in fields {
            line.entry(name).or_insert(value);
        }
        let mut text = Json::Object(line).to_string();
        text.push('\n');
        text.into()
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes log records to a [`LineQueue`].
pub(crate) struct QueueWriter(pub(crate) Arc<LineQueue>);

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut fields = FieldCollector(Map::new());
        // A field that cannot be read is omitted; the rest of the line is still useful.
        let _ = record.key_values().visit(&mut fields);
        let event = record.args().to_string();
        let line = self.0.format_line(&format_time(now), record.level(), &event, fields.0);
        self.0.push(line, record.level() <= Level::Warn);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let mut state = self.0.lock();
        let mut remaining = FLUSH_TIMEOUT;
        while (!state.queued.is_empty() || state.is_writing) && !remaining.is_zero() {
            let step = BATCH_INTERVAL.min(remaining);
            let waited = self.0.changed.wait_timeout(state, step);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            remaining = remaining.saturating_sub(step);
        }
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
}

fn format_time(now: &mut DeferredNow) -> String {
    now.now_utc_owned().format("%Y-%m-%dT%H:%M:%S%.6fZ").to_string()
}

/// Collects the fields of a log record as JSON.
struct FieldCollector(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = match (value.to_u64(), value.to_i64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _, _) => number.into(),
            (_, Some(number), _, _) => number.into(),
            (_, _, Some(number), _) => number.into(),
            (_, _, _, Some(boolean)) => boolean.into(),
            _ => Json::String(value.to_string()),
        };
        self.0.insert(key.as_str().into(), json);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use std::io::{self, Write};
    use std::sync::atomic::Ordering;
    use std::sync::mpsc::{Receiver, Sender, channel};
    use std::time::Duration;

    use serde_json::Value;

    use super::{DROPPED_EVENT, LineQueue, MAX_ROUTINE_BYTES};

    /// An output that blocks each write until the gate opens.
    struct Pipe {
        gate: Receiver<()>,
        written: Sender<Vec<u8>>,
    }

    impl Write for Pipe {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.gate.recv().map_err(|_| io::ErrorKind::BrokenPipe)?;
            self.written.send(bytes.to_vec()).map_err(|_| io::ErrorKind::BrokenPipe)?;
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn a_full_pipe_drops_routine_lines_first_and_never_blocks() {
        let (open, gate) = channel();
        let (written, lines) = channel();
        let queue = LineQueue::start_writing("one", Box::new(Pipe { gate, written })).unwrap();
        queue.push("first\n".into(), false);
        std::thread::sleep(Duration::from_millis(200));
        let line: Box<str> = "x".repeat(1_000).into();
        for _ in 0..2 * MAX_ROUTINE_BYTES / 1_000 {
            queue.push(line.clone(), false);
        }
        queue.push("failure\n".into(), true);
        let dropped = queue.dropped();
        assert!(dropped.routine.load(Ordering::Relaxed) > 0);
        assert_eq!(dropped.failures.load(Ordering::Relaxed), 0);
        open.send(()).unwrap();
        open.send(()).unwrap();
        assert_eq!(lines.recv().unwrap(), b"first\n");
        let text = String::from_utf8(lines.recv().unwrap()).unwrap();
        let (head, last) = text.rsplit_once("failure\n").unwrap();
        assert!(head.len() <= MAX_ROUTINE_BYTES);
        let report: Value = serde_json::from_str(last).unwrap();
        assert_eq!(report["event"], DROPPED_EVENT);
        assert_eq!(report["routine"], dropped.routine.load(Ordering::Relaxed));
        assert_eq!(report["instance"], "one");
    }
}
