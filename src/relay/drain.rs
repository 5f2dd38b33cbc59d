//! The last part of a planned stop: the process lives until every request that it has read is answered.

use async_io::Timer;
use futures_lite::FutureExt;

use super::Frontend;
use crate::fleet::Message;
use crate::prelude::*;

/// Time between two looks at what is unanswered.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time before the end at which what has no answer yet is told so: enough to write an answer to all
/// of them on a twentieth of a core.
const STOP_DEADLINE_MARGIN: Duration = Duration::from_millis(400);

/// Waits until every request of `frontend` is answered, for at most `time_limit`; shortly before that ends,
/// control ends what can still be answered truly. Returns how many requests are left without an answer.
pub async fn drain(frontend: &Frontend, time_limit: Duration) -> usize {
    let answered = async {
        while frontend.unanswered() > 0 {
            Timer::after(POLL_INTERVAL).await;
        }
    };
    let expire = async {
        Timer::after(time_limit.saturating_sub(STOP_DEADLINE_MARGIN)).await;
        frontend.control.tell(Message::StopDeadline);
        Timer::after(time_limit.min(STOP_DEADLINE_MARGIN)).await;
    };
    answered.or(expire).await;
    frontend.unanswered()
}
