//! The last part of a planned stop: the process lives until every request that it has read is answered.

use async_io::Timer;
use futures_lite::FutureExt;

use super::Entry;
use crate::fleet::Message;
use crate::prelude::*;

/// Time between two looks at what is unanswered.
const LOOK: Duration = Duration::from_millis(20);
/// Time before the end at which what has no answer yet is told so: enough to write an answer to all
/// of them on a twentieth of a core.
const LAST_WORDS: Duration = Duration::from_millis(400);

/// Waits until every request of `entry` is answered, for at most `most`; shortly before that ends,
/// control ends what can still be answered truly. Returns how many requests are left without an answer.
pub async fn drain(entry: &Entry, most: Duration) -> usize {
    let answered = async {
        while entry.unanswered() > 0 {
            Timer::after(LOOK).await;
        }
    };
    let end = async {
        Timer::after(most.saturating_sub(LAST_WORDS)).await;
        entry.control.tell(Message::StopDeadline);
        Timer::after(most.min(LAST_WORDS)).await;
    };
    answered.or(end).await;
    entry.unanswered()
}
