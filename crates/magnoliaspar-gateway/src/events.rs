//! Splits a stream into complete server-sent events and tracks the id of the last one.

use bytes::Bytes;

use crate::blocks::Blocks;
use crate::guarantees::{Guarantee, is_disabled};

/// Maximum number of bytes from one event to the end of the next one. Events that were delivered before and
/// comments are no events here.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffer for the bytes of an incomplete event.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// The incomplete event.
    partial: Blocks,
    /// The line that is not complete yet.
    line: Line,
    last_id: Option<u64>,
    /// Number of bytes since the last new event.
    since_event: usize,
}

/// What is known of a line before its end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    /// It is empty so far.
    #[default]
    Empty,
    /// It consists of a carriage return so far.
    CarriageReturn,
    /// It is not empty.
    Text,
}

impl EventBuffer {
    /// Creates a buffer for a stream that resumes after an event.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Adds bytes and returns the complete events that are new, if any.
    pub fn push(&mut self, mut chunk: Bytes) -> Option<Bytes> {
        self.since_event += chunk.len();
        let mut complete = Blocks::default();
        while let Some(end) = self.end_of_event(&chunk) {
            let mut event = chunk.split_to(end);
            if !self.partial.is_empty() {
                self.partial.append(&event);
                event = self.partial.take_joined();
            }
            let id = read_id(&event);
            if let (Some(id), Some(last)) = (id, self.last_id)
                && id <= last
                && !is_disabled(Guarantee::EventOrder)
            {
                continue;
            }
            if id.is_some() || has_data(&event) {
                self.since_event = chunk.len();
            }
            self.last_id = id.or(self.last_id);
            complete.append(&event);
        }
        self.partial.append(&chunk);
        (!complete.is_empty()).then(|| complete.take_joined())
    }

    /// Returns the length of the rest of the first event that ends in `chunk`, including the empty line that ends
    /// it. Each byte is searched once.
    fn end_of_event(&mut self, chunk: &[u8]) -> Option<usize> {
        let mut start = 0;
        while let Some(length) = chunk[start..].iter().position(|byte| *byte == b'\n') {
            let line = self.line.followed_by(&chunk[start..start + length]);
            start += length + 1;
            self.line = Line::Empty;
            if line != Line::Text {
                return Some(start);
            }
        }
        self.line = self.line.followed_by(&chunk[start..]);
        None
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether more bytes have come since the last new event than any event may have.
    pub fn lacks_progress(&self) -> bool {
        self.since_event > MAX_EVENT_BYTES
    }

    /// Returns the number of bytes of the incomplete event.
    pub fn held(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the bytes so far end inside an event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the bytes of an incomplete event.
    pub fn discard_partial(&mut self) {
        self.partial = Blocks::default();
        self.line = Line::Empty;
    }
}

impl Line {
    /// Returns what is known of the line with further bytes.
    fn followed_by(self, bytes: &[u8]) -> Self {
        match (self, bytes) {
            (line, b"") => line,
            (Self::Empty, b"\r") => Self::CarriageReturn,
            _ => Self::Text,
        }
    }
}

/// Returns whether an event is more than a comment.
fn has_data(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"))
}

fn read_id(event: &[u8]) -> Option<u64> {
    for line in event.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else { continue };
        let text = std::str::from_utf8(value).ok()?;
        return text.trim().parse().ok();
    }
    None
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;

    use super::{EventBuffer, MAX_EVENT_BYTES};

    #[test]
    fn only_whole_events_pass() {
        let mut events = EventBuffer::default();
        assert_eq!(events.push(b"id: 1\ndata: a\n"[..].into()), None);
        assert_eq!(events.push(b"\nid: 2"[..].into()).unwrap(), "id: 1\ndata: a\n\n");
        assert_eq!(events.last_id(), Some(1));
        assert!(events.has_partial());
        assert_eq!(events.push(b"\n\n"[..].into()).unwrap(), "id: 2\n\n");
        assert!(!events.has_partial());
    }

    #[test]
    fn events_are_found_in_pieces_of_any_length() {
        let stream = b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
        for length in 1..=stream.len() {
            let mut events = EventBuffer::default();
            let mut out = Vec::new();
            for piece in stream.chunks(length) {
                out.extend(events.push(Bytes::copy_from_slice(piece)).unwrap_or_default());
            }
            assert_eq!(out, stream);
            assert_eq!(events.last_id(), Some(3));
        }
    }

    #[test]
    fn an_event_after_a_discarded_one_is_found() {
        let mut events = EventBuffer::default();
        assert_eq!(events.push(b"id: 1\ndata: long\n"[..].into()), None);
        events.discard_partial();
        assert_eq!(events.push(b"id: 1\n\n"[..].into()).unwrap(), "id: 1\n\n");
    }

    #[test]
    fn neither_events_that_were_delivered_nor_comments_are_progress() {
        for text in ["id: 1\ndata: a\n\n", ": a\n\n", "data: a\n"] {
            let mut events = EventBuffer::default();
            events.push(b"id: 1\ndata: a\n\n"[..].into());
            let piece = text.repeat(10_000);
            let mut pushed = 0;
            while !events.lacks_progress() {
                events.push(piece.clone().into());
                pushed += piece.len();
                assert!(pushed <= MAX_EVENT_BYTES + piece.len());
            }
            let mut events = EventBuffer::default();
            for id in 0..20_000 {
                events.push(format!("id: {id}\ndata: {}\n\n", "a".repeat(100)).into());
            }
            assert!(!events.lacks_progress());
        }
    }

    #[test]
    fn events_that_were_delivered_are_not_repeated() {
        let mut events = EventBuffer::after(Some(2));
        let out = events.push(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n"[..].into()).unwrap();
        assert_eq!(out, "id: 3\ndata: c\n\n");
    }
}
