//! Splitting of event streams into complete events, so that a stream can resume after any event.

/// The events of one answer across all attempts that contribute to it.
#[derive(Debug, Default)]
pub struct Events {
    /// The start of an incomplete event.
    partial: Vec<u8>,
    /// The id of the last complete event.
    last_id: Option<u64>,
    /// Whether an answer has begun.
    has_answer: bool,
    /// Whether the caller has events of an answer that was broken off, and no new one has arrived since.
    owes_event: bool,
    /// Whether an event with data and without an id was passed on after the last one with an id.
    lacks_position: bool,
}

impl Events {
    /// Creates the state for a caller that already has the events up to `last_id`, of an answer that was broken off.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, owes_event: last_id.is_some(), ..Self::default() }
    }

    /// Adds received bytes and returns the events that are now complete. Events with an id not above
    /// the last one were forwarded before and are dropped.
    ///
    /// ```
    /// let mut events = cardamomvalve::relay::Events::default();
    /// assert_eq!(events.feed(b"id: 1\ndata: a\n\nid: 2\nda"), b"id: 1\ndata: a\n\n");
    /// assert_eq!(events.last_id(), Some(1));
    /// ```
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<u8> {
        let scanned = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let mut whole = Vec::new();
        let mut start = 0;
        let mut from = scanned;
        while let Some(end) = event_end(&self.partial, from) {
            let event = &self.partial[start..end];
            let id = event_id(event);
            let repeated = id.is_some_and(|id| self.last_id.is_some_and(|last| id <= last));
            if !repeated {
                whole.extend_from_slice(event);
                self.last_id = id.or(self.last_id);
                self.owes_event &= id.is_none();
                self.lacks_position = id.is_none() && (self.lacks_position || has_data(event));
            }
            start = end;
            from = end;
        }
        self.partial.drain(..start);
        whole
    }

    /// Takes the bytes after the last complete event.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }

    /// Returns the number of bytes after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the end of the connection can be the end of the stream: an event with an id
    /// has arrived, also since the last answer that was broken off, and only line breaks follow it.
    ///
    /// ```
    /// let mut events = cardamomvalve::relay::Events::default();
    /// assert!(!events.end_with_whole_event());
    /// events.feed(b"id: 1\n\nid: 2");
    /// assert!(!events.end_with_whole_event());
    /// events.feed(b"\n\n");
    /// assert!(events.end_with_whole_event());
    /// ```
    pub fn end_with_whole_event(&self) -> bool {
        self.last_id.is_some() && !self.owes_event && !self.has_begun_event()
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the caller has an event that no position covers. A stream that went on after the last id would bring
    /// it again.
    pub fn lacks_position(&self) -> bool {
        self.lacks_position
    }

    /// Begins an answer. If it is not the first, the one before was broken off: its incomplete event
    /// is sent again from its start, and at least one event is to come.
    pub fn begin_answer(&mut self) {
        self.owes_event |= self.has_answer;
        self.has_answer = true;
        self.partial.clear();
    }

    fn has_begun_event(&self) -> bool {
        self.partial.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
    }
}

/// Finds the end of an event, just past its empty line, by a search that starts at `from`.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while at < bytes.len() {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            return Some(at + 2);
        }
        if rest.starts_with(b"\r\n\r\n") {
            return Some(at + 4);
        }
        at += 1;
    }
    None
}

fn has_data(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
