//! Event streams cut into whole events, so that one can be continued after any of them.

/// The events of one answer, over all the runs that it is made from.
#[derive(Debug, Default)]
pub struct Events {
    /// The beginning of an event whose end has not come.
    partial: Vec<u8>,
    /// The id of the last whole event.
    last_id: Option<u64>,
}

impl Events {
    /// The events of an answer to a caller who has those up to `last`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { partial: Vec::new(), last_id }
    }

    /// Takes bytes as they come; returns those of the whole events among them. Events whose ids
    /// are not above the last one were passed on before, and are left out.
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
            }
            start = end;
            from = end;
        }
        self.partial.drain(..start);
        whole
    }

    /// Bytes after the last whole event; they belong to none.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Forgets a partial event: the next run begins it anew.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// Where the first event at or after `from` ends: past its empty line.
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

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
